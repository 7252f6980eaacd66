//! Failures of the platform.

use crate::platform::ObjectName;

/// Why the platform gave no answer that can be used.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum PlatformError {
    /// It could not be reached, or answered too late.
    #[error("the platform is unavailable: {reason}")]
    Unavailable {
        /// What happened to the call.
        reason: String,
    },
    /// It refused the call because of its rate limit.
    #[error("the platform's rate limit was hit")]
    RateLimited,
    /// It has no object with this name.
    #[error("object {name} does not exist")]
    NoObject {
        /// The wanted object.
        name: ObjectName,
    },
    /// Its answer can't be read.
    #[error("the platform's answer to {call} is malformed: {reason}")]
    Malformed {
        /// The call.
        call: &'static str,
        /// What is wrong with the answer.
        reason: String,
    },
}
