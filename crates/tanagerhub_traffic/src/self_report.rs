//! What a backend server says about itself in the head of a response.

use std::time::Duration;

use serde::Serialize;
use tanagerhub_catalogue::VmId;

/// Longest pause that a backend server can ask for; a longer one is most likely a wrong unit.
pub const MAX_PAUSE: Duration = Duration::from_mins(10);

/// A backend server within one lifetime of its process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
pub struct ServerLifetime {
    /// The VM of the backend server.
    pub server: VmId,
    /// When the backend server started, in Unix milliseconds; identifies the start.
    pub started_ms: u64,
}

/// The state that a backend server reports of itself in a response.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use tanagerhub_traffic::SelfReport;
///
/// let report = SelfReport { pause: Some(Duration::from_secs(2)), ..SelfReport::default() };
/// assert!(!report.is_empty());
/// assert!(SelfReport::default().is_empty());
/// ```
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct SelfReport {
    /// Whether the backend server is about to leave.
    pub leaving: bool,
    /// How long it wants nothing from this node; at most [`MAX_PAUSE`].
    pub pause: Option<Duration>,
}

impl SelfReport {
    /// Whether the backend server reports nothing.
    #[must_use]
    pub const fn is_empty(&self) -> bool {
        !self.leaving && self.pause.is_none()
    }
}
