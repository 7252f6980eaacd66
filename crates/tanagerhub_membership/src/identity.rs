//! The identity of a process in a node slot.

use serde::{Deserialize, Serialize};
use tanagerhub_catalogue::BootId;

/// One start of a process in a node slot; a later start compares as greater.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
pub struct Identity {
    /// The number of processes that have occupied the slot, this one included.
    pub incarnation: u64,
    /// The start of the process that occupies the slot.
    pub boot: BootId,
}

impl Identity {
    /// Returns the identity of `boot` when it takes over the slot from this process.
    #[must_use]
    pub const fn successor(self, boot: BootId) -> Self {
        Self {
            incarnation: self.incarnation.saturating_add(1),
            boot,
        }
    }
}
