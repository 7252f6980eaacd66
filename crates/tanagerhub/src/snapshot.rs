//! What control shows to traffic.

use std::sync::Arc;
use std::time::Duration;

use tanagerhub_catalogue::Catalogue;
use tanagerhub_clock::Moment;
use tanagerhub_traffic::{Freshness, RouteTable};

/// The age from which a snapshot is no longer trusted: the control thread stands still.
const MAX_SNAPSHOT_AGE: Duration = Duration::from_millis(500);

/// The catalogue, the routes and the freshness at one moment; it never changes.
#[derive(Debug, Clone)]
pub(crate) struct Snapshot {
    /// Rises with each snapshot.
    pub(crate) generation: u64,
    /// When it was made.
    pub(crate) created_at: Moment,
    /// For how long it is trusted.
    pub(crate) max_age: Duration,
    /// The catalogue in force.
    pub(crate) catalogue: Arc<Catalogue>,
    /// Where requests may go.
    pub(crate) routes: RouteTable,
    /// Until when new work may be taken; `None` means not at all.
    pub(crate) fresh_until: Option<Moment>,
    /// Nodes that take work, this one included.
    pub(crate) node_count: u32,
    /// This node's place among them, from zero.
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
    /// Whether new work may be sent at `now`.
    pub(crate) fn takes_work(&self, now: Moment) -> bool {
        let fresh = self.fresh_until.is_some_and(|until| now < until);
        fresh && now.since(self.created_at) < self.max_age
    }

    /// The view that traffic decides by.
    pub(crate) fn freshness(&self, now: Moment) -> Freshness {
        Freshness {
            takes_work: self.takes_work(now),
            live_nodes: self.node_count,
            place: self.node_index,
        }
    }

    /// The routes with the ages that they have at `now`.
    pub(crate) fn routes_at(&self, now: Moment) -> RouteTable {
        let mut table = self.routes.clone();
        let age = now.since(self.created_at);
        for route in &mut table.routes {
            route.attested = route.attested.saturating_add(age);
        }
        table
    }
}
