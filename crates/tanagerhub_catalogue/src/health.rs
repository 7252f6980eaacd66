//! What a whole group can bear.

use std::fmt;

use serde::{Deserialize, Serialize};

/// What a whole group can bear.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Health {
    /// Full load.
    Warm,
    /// Only its cold slots.
    Cold,
    /// No new work: a member is about to leave.
    Leaving,
}

impl fmt::Display for Health {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Warm => "warm",
            Self::Cold => "cold",
            Self::Leaving => "leaving",
        })
    }
}
