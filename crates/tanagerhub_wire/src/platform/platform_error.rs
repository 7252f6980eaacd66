//! Errors of calls to the platform.

use crate::platform::ObjectName;

/// Why a call to the platform has no usable response.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum PlatformError {
    /// The platform could not be reached, did not respond in time or responded with an error.
    #[error("the platform is unavailable: {reason}")]
    Unavailable {
        /// The cause.
        reason: String,
    },
    /// The platform refused the call because of its rate limit.
    #[error("the platform's rate limit was hit")]
    RateLimited,
    /// The platform has no object of this name.
    #[error("object {name} does not exist")]
    NoObject {
        /// The name of the object.
        name: ObjectName,
    },
    /// The response is malformed.
    #[error("the platform's response to {call} is malformed: {reason}")]
    Malformed {
        /// The method and path of the call.
        call: &'static str,
        /// What is malformed.
        reason: String,
    },
}
