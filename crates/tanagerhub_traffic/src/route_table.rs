//! The groups to which requests may be sent, as listed by the control thread.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tanagerhub_capacity::Shard;
use tanagerhub_catalogue::{DataCentreId, EntryId, Epoch, GroupId, VmId};

use crate::{ServerLifetime, Share};

/// The groups that the control thread lists for traffic.
#[derive(Debug, Clone, Default)]
pub struct RouteTable {
    /// One route per group.
    pub routes: Vec<Route>,
}

/// Route to one group, or to one VM of a service without groups.
#[derive(Debug, Clone)]
pub struct Route {
    /// Id of the group.
    pub group: GroupId,
    /// Epoch of the group; a change of epoch resets the state that traffic holds on the group.
    pub epoch: Epoch,
    /// Catalogue entry that the group serves.
    pub entry: EntryId,
    /// Data centre of the group.
    pub data_centre: DataCentreId,
    /// Address of the group's head, the member with rank 0.
    pub address: SocketAddr,
    /// VM of the group's head, by which the limits that its backend server advertises are kept.
    pub server: VmId,
    /// When that backend server started, in Unix milliseconds; identifies the start.
    pub started_ms: u64,
    /// The backend servers of the group's other members. One that leaves takes the group out of
    /// service.
    pub members: Arc<[ServerLifetime]>,
    /// This node's share of such a limit.
    pub share: Share,
    /// Whether the group is attested complete and in service.
    pub eligible: bool,
    /// Age of the newest attestation; it supersedes older failures and cold signals.
    pub attested: Duration,
    /// Whether the group finishes its requests and gets no new ones.
    pub draining: bool,
    /// This node's slots while the group is in cold start; `None` when it is warm.
    pub cold: Option<u32>,
    /// Number of nodes that send requests to this group; zero means all live nodes.
    pub sending_nodes: u32,
    /// The engine's newest load report.
    pub load: Option<LoadReport>,
    /// Requests that the group runs at once, if that is known for the group itself. It is then this
    /// node's limit of requests in flight, in place of the node's share of the entry's concurrency
    /// limit.
    pub slots: Option<u32>,
    /// Tokens for which the group has memory; `None` if that is not known.
    pub memory_tokens: Option<u64>,
    /// Limit of requests that this node may start there within any second; `None` for no limit.
    pub starts: Option<u32>,
    /// The shard whose coordinator grants the starts, which come from the nodes' shares `starts`;
    /// `None` if each node uses its own share.
    pub shared: Option<Shard>,
}

/// Load report of an engine.
#[derive(Debug, Clone, Copy)]
pub struct LoadReport {
    /// Number of requests that the engine runs.
    pub running: u32,
    /// Number of requests queued in the engine.
    pub waiting: u32,
    /// Age of the report.
    pub age: Duration,
}

impl Route {
    /// Creates the route of an eligible, warm group without load report or limits of its own. The
    /// id of its server is derived from the group's.
    #[must_use]
    pub fn new(group: GroupId, epoch: Epoch, entry: EntryId, address: SocketAddr) -> Self {
        Self {
            group,
            epoch,
            entry,
            data_centre: DataCentreId::default(),
            address,
            server: VmId(group.0),
            started_ms: 0,
            members: Arc::default(),
            share: Share { nodes: 1, place: 0 },
            eligible: true,
            attested: Duration::ZERO,
            draining: false,
            cold: None,
            sending_nodes: 0,
            load: None,
            slots: None,
            memory_tokens: None,
            starts: None,
            shared: None,
        }
    }

    /// Returns the backend server of the head within its lifetime.
    #[must_use]
    pub const fn lifetime(&self) -> ServerLifetime {
        ServerLifetime {
            server: self.server,
            started_ms: self.started_ms,
        }
    }

    /// Returns the backend servers of the head and of the other members.
    pub(crate) fn lifetimes(&self) -> impl Iterator<Item = ServerLifetime> {
        std::iter::once(self.lifetime()).chain(self.members.iter().copied())
    }

    /// Whether new requests may be sent: the group is eligible and does not drain.
    #[must_use]
    pub const fn takes_work(&self) -> bool {
        self.eligible && !self.draining
    }
}
