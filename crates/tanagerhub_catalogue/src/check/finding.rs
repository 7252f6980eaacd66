//! One finding of a check.

use std::fmt;

use serde::{Serialize, Serializer};

use crate::FindingReason;

/// How serious a finding is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Severity {
    /// A node accepts the document, but a part of it can't have the intended effect.
    Warning,
    /// A node refuses the document, or the check is strict.
    Error,
}

/// A position in a document.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
pub struct Position {
    /// The line; the first is 1.
    pub line: usize,
    /// The column in characters; the first is 1.
    pub column: usize,
}

/// One finding of a check.
#[derive(Debug, Clone, PartialEq)]
pub struct Finding {
    /// How serious the finding is.
    pub severity: Severity,
    /// The position of the field, or of the closest table around it if the field isn't written;
    /// `None` if the document contains neither.
    pub position: Option<Position>,
    /// Section and name of the item, such as `entries.advisor`; by its index if it has no name.
    pub entry: Option<String>,
    /// The path of the field, such as `entries.advisor.limits.queue`.
    pub path: String,
    /// What was found.
    pub reason: FindingReason,
}

#[derive(Serialize)]
struct SerializedFinding<'a> {
    severity: Severity,
    line: Option<usize>,
    column: Option<usize>,
    entry: Option<&'a str>,
    path: &'a str,
    message: String,
    reason: &'a FindingReason,
}

impl Serialize for Finding {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        let finding = SerializedFinding {
            severity: self.severity,
            line: self.position.map(|position| position.line),
            column: self.position.map(|position| position.column),
            entry: self.entry.as_deref(),
            path: &self.path,
            message: self.reason.to_string(),
            reason: &self.reason,
        };
        finding.serialize(serializer)
    }
}

impl fmt::Display for Severity {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Warning => "warning",
            Self::Error => "error",
        })
    }
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if let Some(Position { line, column }) = self.position {
            write!(f, "{line}:{column}: ")?;
        }
        write!(f, "{}: {}: {}", self.severity, self.path, self.reason)
    }
}
