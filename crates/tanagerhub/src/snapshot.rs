//! The state that the control thread publishes to the traffic decisions.

use std::sync::Arc;
use std::time::Duration;

use tanagerhub_catalogue::Catalogue;
use tanagerhub_clock::Moment;
use tanagerhub_traffic::{Freshness, RouteTable};

/// The age from which a snapshot is no longer used, since the control thread must be stalled.
const MAX_SNAPSHOT_AGE: Duration = Duration::from_millis(500);

/// An immutable copy of the catalogue, the routes and the freshness at one moment.
#[derive(Debug, Clone)]
pub(crate) struct Snapshot {
    /// Increases with each snapshot.
    pub(crate) generation: u64,
    /// When the snapshot was created.
    pub(crate) created_at: Moment,
    /// The age from which the snapshot no longer allows new work.
    pub(crate) max_age: Duration,
    /// The catalogue in force.
    pub(crate) catalogue: Arc<Catalogue>,
    /// The groups that requests may be sent to.
    pub(crate) routes: RouteTable,
    /// The moment until which new work may be accepted; `None` means not at all.
    pub(crate) fresh_until: Option<Moment>,
    /// The number of nodes that accept work, this one included.
    pub(crate) node_count: u32,
    /// This node's index among them, from zero.
    pub(crate) node_index: u32,
}

impl Default for Snapshot {
    fn default() -> Self {
        Self {
            generation: 0,
            created_at: Moment::ZERO,
            max_age: MAX_SNAPSHOT_AGE,
            catalogue: Arc::default(),
            routes: RouteTable::default(),
            fresh_until: None,
            node_count: 0,
            node_index: 0,
        }
    }
}

impl Snapshot {
    /// Returns whether new work may be sent at `now`: the view is fresh and the snapshot not too
    /// old.
    pub(crate) fn takes_work(&self, now: Moment) -> bool {
        let fresh = self.fresh_until.is_some_and(|until| now < until);
        fresh && now.since(self.created_at) < self.max_age
    }

    /// Returns the freshness at `now`, as the traffic decisions use it.
    pub(crate) fn freshness(&self, now: Moment) -> Freshness {
        Freshness {
            takes_work: self.takes_work(now),
            live_nodes: self.node_count,
            place: self.node_index,
        }
    }

    /// Returns the routes with the ages of their attestations at `now`.
    pub(crate) fn routes_at(&self, now: Moment) -> RouteTable {
        let mut table = self.routes.clone();
        let age = now.since(self.created_at);
        for route in &mut table.routes {
            route.attested = route.attested.saturating_add(age);
        }
        table
    }
}
