//! The load that a complete group accepts.

use std::fmt;

use serde::{Deserialize, Serialize};

/// The load that a complete group accepts.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Health {
    /// Requests up to the limits of the entry.
    Warm,
    /// Only as many requests in flight as the entry's [`ColdLimit`](crate::ColdLimit) allows,
    /// because the group is in its cold start.
    Cold,
    /// No new requests, because a member is about to leave.
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
