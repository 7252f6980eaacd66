//! Mistakes in a catalogue document.

use std::fmt;

use serde::{Deserialize, Serialize};

/// One mistake, with its place in the document.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Mistake {
    /// The place, such as `entries.advisor.limits.replicas_max`.
    pub path: String,
    /// What is wrong and what is allowed.
    pub message: String,
}

impl fmt::Display for Mistake {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.path, self.message)
    }
}

/// Why a catalogue document was refused: every mistake found in it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, thiserror::Error)]
#[error("the catalogue has {} mistake(s): {}", mistakes.len(), format_mistakes(mistakes))]
pub struct CatalogueError {
    /// The mistakes, in the document's order.
    pub mistakes: Vec<Mistake>,
}

fn format_mistakes(mistakes: &[Mistake]) -> String {
    mistakes
        .iter()
        .map(Mistake::to_string)
        .collect::<Vec<_>>()
        .join("; ")
}
