//! What became of a request that got no proper answer.

use ::http::HeaderValue;
use serde::{Deserialize, Serialize};

/// The header that tells the outcome on every error.
pub const OUTCOME: &str = "x-tanagerhub-outcome";

/// What became of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// No part of it was run; it can be sent again.
    NotRun,
    /// It was run.
    Ran,
    /// It may have been run.
    Unknown,
}

impl Outcome {
    /// The value of the header [`OUTCOME`].
    #[must_use]
    pub const fn header(self) -> HeaderValue {
        HeaderValue::from_static(match self {
            Self::NotRun => "not-run",
            Self::Ran => "ran",
            Self::Unknown => "unknown",
        })
    }
}
