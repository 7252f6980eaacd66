//! The groups that a coordinator grants.

use std::time::Duration;

use tanagerhub_catalogue::{DataCentreId, EntryId, Epoch, GroupId, VmId};

/// A replica group, or a VM with a plain service, whose starts are coordinated.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CoordinatedGroup {
    /// The group.
    pub group: GroupId,
    /// The epoch of the group.
    pub epoch: Epoch,
    /// The VM that receives the requests.
    pub server: VmId,
    /// The catalogue entry that the group serves.
    pub entry: EntryId,
    /// The data centre of the VM.
    pub data_centre: DataCentreId,
    /// The number of requests that the group can have at a time.
    pub slots: u32,
    /// The number of starts of all nodes in any second, with its margin already taken off.
    pub start_limit: u32,
    /// The number of tokens that fit into the group's memory; `None` for plain services.
    pub memory_tokens: Option<u64>,
    /// The time in which the group reads a prompt token at its usual speed; zero if that is
    /// unknown.
    pub token_read_time: Duration,
}
