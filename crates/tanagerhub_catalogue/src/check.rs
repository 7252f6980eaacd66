//! Checks a document before it is applied.

mod contradictions;
mod difference;
mod effect;
mod finding;
mod finding_reason;
mod magnitude;
mod marks;
mod matching;
mod report;
mod source;

use crate::document::{Document, LocatedMistake, Place};
use crate::{Catalogue, CatalogueDiff};

use source::{Collector, Source};

pub use difference::Difference;
pub use effect::{Effect, Limit};
pub use finding::{Finding, Position, Severity};
pub use finding_reason::FindingReason;
pub use report::CheckReport;

/// Checks a TOML document, and compares it with the catalogue in force if that is given.
///
/// The report has an error for each mistake for which [`Catalogue::parse`] refuses the document.
/// Only a document without errors is checked for warnings and compared. The marks of `in_force` are
/// taken into account, since applying a document doesn't change them.
///
/// # Examples
///
/// ```
/// use tanagerhub_catalogue::{Severity, check_document};
///
/// let report = check_document("[[organisations]]\nname = \"shop\"\n", None);
/// let [finding] = report.findings.as_slice() else { unreachable!() };
/// assert_eq!(finding.severity, Severity::Warning);
/// assert_eq!(finding.position.unwrap().line, 1);
/// assert_eq!(finding.path, "organisations.shop.keys");
/// ```
#[must_use]
pub fn check_document(text: &str, in_force: Option<&Catalogue>) -> CheckReport {
    let source = Source::new(text);
    let catalogue = match Document::parse(text) {
        Ok(document) => document.into_catalogue(),
        Err(mistakes) => return CheckReport::new(errors(&source, mistakes), Vec::new()),
    };
    let mut collector = Collector::new(&source);
    matching::check(&catalogue, in_force, &mut collector);
    contradictions::check(&catalogue, &mut collector);
    magnitude::check(&catalogue, &mut collector);
    let mut differences = Vec::new();
    if let Some(in_force) = in_force {
        marks::check(&catalogue, &in_force.marks, &mut collector);
        let diff = CatalogueDiff::between(in_force, &catalogue);
        differences = difference::with_effects(diff, in_force, &catalogue, &source);
    }
    CheckReport::new(collector.into_findings(), differences)
}

/// Returns a finding for each mistake; a syntax error, after which a node stops reading, stands for
/// all syntax errors of the document.
fn errors(source: &Source<'_>, mistakes: Vec<LocatedMistake>) -> Vec<Finding> {
    let mut findings = Vec::new();
    for LocatedMistake { mistake, place } in mistakes {
        match place {
            Place::Value(steps) => findings.push(Finding {
                severity: Severity::Error,
                position: source.position(&steps),
                entry: source.item(&steps),
                path: mistake.path,
                reason: FindingReason::Invalid {
                    message: mistake.message,
                },
            }),
            Place::Syntax(offset) => {
                let first = (offset, mistake.message);
                let others = source.syntax_errors().filter(|other| *other != first);
                let all = std::iter::once(first.clone()).chain(others);
                findings.extend(all.map(|(offset, message)| Finding {
                    severity: Severity::Error,
                    position: offset.map(|offset| source.position_of(offset)),
                    entry: None,
                    path: "document".to_owned(),
                    reason: FindingReason::Syntax { message },
                }));
            }
        }
    }
    findings
}
