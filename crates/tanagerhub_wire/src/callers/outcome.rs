//! Whether a failed request was run.

use ::http::HeaderValue;
use serde::{Deserialize, Serialize};

/// The header with the [`Outcome`], set on every error response.
pub const OUTCOME: &str = "x-tanagerhub-outcome";

/// Whether a failed request was run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// No part of it was run, so it can safely be repeated.
    NotRun,
    /// It was run; repeating it runs it a second time.
    Ran,
    /// It may have been run.
    Unknown,
}

impl Outcome {
    /// Returns the value of the header [`OUTCOME`].
    #[must_use]
    pub const fn header(self) -> HeaderValue {
        HeaderValue::from_static(match self {
            Self::NotRun => "not-run",
            Self::Ran => "ran",
            Self::Unknown => "unknown",
        })
    }
}
