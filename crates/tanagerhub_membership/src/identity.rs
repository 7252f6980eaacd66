//! Which start of a process speaks for a node slot.

use serde::{Deserialize, Serialize};
use tanagerhub_catalogue::BootId;

/// One start of a process in a node slot; a later one compares as greater.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
pub struct Identity {
    /// Counts the processes that took the slot.
    pub incarnation: u64,
    /// The process that took it.
    pub boot: BootId,
}

impl Identity {
    /// The identity of `boot` when it takes the slot over from this one.
    #[must_use]
    pub const fn successor(self, boot: BootId) -> Self {
        Self {
            incarnation: self.incarnation.saturating_add(1),
            boot,
        }
    }
}
