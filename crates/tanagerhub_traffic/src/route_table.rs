//! Where requests may go, as control sees it.

use std::net::SocketAddr;
use std::time::Duration;

use tanagerhub_catalogue::{DataCentreId, EntryId, Epoch, GroupId};

/// The groups that control shows to traffic.
#[derive(Debug, Clone, Default)]
pub struct RouteTable {
    /// One route per group.
    pub routes: Vec<Route>,
}

/// One group, or one VM of a plain service.
#[derive(Debug, Clone)]
pub struct Route {
    /// The group.
    pub group: GroupId,
    /// Its epoch.
    pub epoch: Epoch,
    /// The entry that it serves.
    pub entry: EntryId,
    /// Where it is.
    pub data_centre: DataCentreId,
    /// The address of its rank 0.
    pub address: SocketAddr,
    /// Whether it is attested whole and in service.
    pub eligible: bool,
    /// How old the newest attestation is; an older failure or cold signal is then forgotten.
    pub attested: Duration,
    /// Whether it finishes its work and takes no more.
    pub draining: bool,
    /// This node's slots when the group is in cold start; `None` when it is warm.
    pub cold: Option<u32>,
    /// Nodes that send work to this group; zero means all live nodes.
    pub sending_nodes: u32,
    /// What the engine last reported.
    pub load: Option<LoadReport>,
    /// Requests that the group runs at once, where that is known of the group itself.
    pub slots: Option<u32>,
    /// Requests that this node may start there within any second.
    pub starts: Option<u32>,
}

/// What an engine reported of its load.
#[derive(Debug, Clone, Copy)]
pub struct LoadReport {
    /// Requests that it runs.
    pub running: u32,
    /// Requests that wait in it.
    pub waiting: u32,
    /// How old the report is.
    pub age: Duration,
}

impl Route {
    /// Describes an eligible, warm group.
    #[must_use]
    pub fn new(group: GroupId, epoch: Epoch, entry: EntryId, address: SocketAddr) -> Self {
        Self {
            group,
            epoch,
            entry,
            data_centre: DataCentreId::default(),
            address,
            eligible: true,
            attested: Duration::ZERO,
            draining: false,
            cold: None,
            sending_nodes: 0,
            load: None,
            slots: None,
            starts: None,
        }
    }

    /// Whether new work may be sent.
    #[must_use]
    pub const fn takes_work(&self) -> bool {
        self.eligible && !self.draining
    }
}
