//! The result of a check.

use serde::Serialize;

use crate::{Difference, Finding, Severity};

/// The findings in a document, and its differences from the catalogue in force.
#[derive(Debug, Clone, PartialEq, Default, Serialize)]
pub struct CheckReport {
    /// The findings, by position.
    pub findings: Vec<Finding>,
    /// The differences; empty if the document has errors or nothing to compare with was given.
    pub differences: Vec<Difference>,
}

impl CheckReport {
    pub(crate) fn new(mut findings: Vec<Finding>, differences: Vec<Difference>) -> Self {
        findings.sort_by_key(|finding| finding.position);
        Self {
            findings,
            differences,
        }
    }

    /// Turns all warnings into errors.
    ///
    /// # Examples
    ///
    /// ```
    /// use tanagerhub_catalogue::{Severity, check_document};
    ///
    /// let report = check_document("[[organisations]]\nname = \"shop\"\n", None);
    /// assert_eq!(report.worst(), Some(Severity::Warning));
    /// assert_eq!(report.into_strict().worst(), Some(Severity::Error));
    /// ```
    #[must_use]
    pub fn into_strict(mut self) -> Self {
        for finding in &mut self.findings {
            finding.severity = Severity::Error;
        }
        self
    }

    /// Returns the severity of the most serious finding, or `None` if there are no findings.
    #[must_use]
    pub fn worst(&self) -> Option<Severity> {
        self.findings.iter().map(|finding| finding.severity).max()
    }

    /// Returns the number of findings of this severity.
    #[must_use]
    pub fn count(&self, severity: Severity) -> usize {
        let matches = |finding: &&Finding| finding.severity == severity;
        self.findings.iter().filter(matches).count()
    }
}
