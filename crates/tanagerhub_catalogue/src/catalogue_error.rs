//! The mistakes found in a catalogue document.

use std::fmt;

use serde::{Deserialize, Serialize};

/// One mistake in a catalogue document, with its path.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Mistake {
    /// The path of the field, such as `entries.advisor.limits.replicas_max`.
    pub path: String,
    /// What is wrong with the field, and what is allowed.
    pub message: String,
}

impl fmt::Display for Mistake {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.path, self.message)
    }
}

/// Error for a catalogue document that was refused, with every mistake found in it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, thiserror::Error)]
#[error("the catalogue has {} mistake(s): {}", mistakes.len(), format_mistakes(mistakes))]
pub struct CatalogueError {
    /// The mistakes, in the order in which they were found.
    pub mistakes: Vec<Mistake>,
}

fn format_mistakes(mistakes: &[Mistake]) -> String {
    mistakes
        .iter()
        .map(Mistake::to_string)
        .collect::<Vec<_>>()
        .join("; ")
}
