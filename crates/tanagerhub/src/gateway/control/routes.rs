//! Publishes the routes to the heads of groups.

use std::collections::{BTreeSet, HashMap};
use std::sync::Arc;
use std::time::Duration;

use tanagerhub_catalogue::{Catalogue, GroupId, NodeId, VmId};
use tanagerhub_clock::Moment;
use tanagerhub_groups::Head;
use tanagerhub_traffic::{Route, RouteTable, ServerLifetime, Share};

use super::GatewayControl;
use crate::gateway::Configuration;
use crate::snapshot::Snapshot;

/// The share of a limit for all nodes that the nodes use together. The rest allows for delays
/// between a decision and the sending.
const START_LIMIT_SHARE: f64 = 0.85;
/// The same where coordinators grant the starts. A grant that is too old is discarded right before
/// the request is sent, so that less is needed for delays.
const GRANTED_LIMIT_SHARE: f64 = 0.95;
/// The age up to which a published snapshot is used. It is unlimited, since each change of the
/// routes publishes a new snapshot.
const MAX_SNAPSHOT_AGE: Duration = Duration::MAX;

impl GatewayControl {
    /// Publishes a new snapshot if the routes or the number of live nodes have changed.
    pub(super) fn publish_routes(&mut self, now: Moment) {
        let Some(configuration) = self.view.configuration.clone() else {
            return;
        };
        let live = self.presence.live_nodes(now);
        let senders = self.presence.sending_nodes(now);
        let same_nodes = live == self.view.live_nodes && senders == self.view.senders;
        let revision = Some(self.groups.revision());
        let pools_due = self.are_pools_due(now);
        if same_nodes && revision == self.view.routes_revision && !pools_due {
            return;
        }
        let mut heads = self.groups.heads();
        for head in &mut heads {
            // The remaining cold time must not count as a change of the routes. It is not needed,
            // since the start limit of cold backend servers always applies.
            head.cold_remaining = Duration::ZERO;
        }
        let is_first = self.view.routes_revision.is_none();
        self.view.routes_revision = revision;
        if same_nodes && heads == self.view.heads && !is_first && !pools_due {
            return;
        }
        self.log_route_changes(&heads);
        let names: HashMap<GroupId, Arc<str>> = heads
            .iter()
            .map(|head| (head.group, Arc::from(head.name.as_str())))
            .collect();
        self.shared.set_names(names);
        let own = NodeId::of(&self.executor.node);
        let share = |head: &Head| {
            let others = senders.as_deref();
            others.map_or(Share::NONE, |others| {
                Share::among(others, own, VmId::of(&head.name).0)
            })
        };
        self.update_switch(&configuration, senders.as_deref());
        self.update_pools(now, &heads);
        let routes = heads
            .iter()
            .map(|head| {
                let mut route = route(head, &configuration, share(head));
                route.shared = self.shard(head);
                if route.shared.is_some() {
                    let limit = configuration.start_limits.get(&head.entry);
                    route.starts = limit.map(|limit| granted_share(*limit, route.share));
                }
                route
            })
            .collect();
        self.publish_groups(&configuration, &heads);
        self.view.senders = senders;
        self.view.heads = heads;
        self.view.live_nodes = live;
        self.view.generation += 1;
        let catalogue: Arc<Catalogue> = Arc::clone(&configuration.catalogue);
        self.traffic.publish(Snapshot {
            generation: self.view.generation,
            created_at: now,
            max_age: MAX_SNAPSHOT_AGE,
            catalogue,
            routes: RouteTable { routes },
            fresh_until: Some(now + Duration::MAX),
            node_count: u32::try_from(live).unwrap_or(u32::MAX),
            node_index: 0,
        });
    }

    fn log_route_changes(&self, heads: &[Head]) {
        let key = |head: &Head| (head.group, head.epoch);
        let before: BTreeSet<_> = self.view.heads.iter().map(key).collect();
        let after: BTreeSet<_> = heads.iter().map(key).collect();
        for (group, epoch) in after.difference(&before) {
            log::info!(group:%, epoch = epoch.0; "requests may go to a group");
        }
        for (group, epoch) in before.difference(&after) {
            log::info!(group:%, epoch = epoch.0; "no more requests to a group");
        }
    }
}

/// Returns the route to a head, with this node's share of its start limit.
fn route(head: &Head, configuration: &Configuration, share: Share) -> Route {
    let starts = configuration.start_limits.get(&head.entry).copied();
    let mut route = Route::new(head.group, head.epoch, head.entry, head.address);
    route.server = VmId::of(&head.name);
    route.started_ms = head.started_ms;
    let members = head.members.iter();
    route.members = members
        .map(|(server, started_ms)| ServerLifetime {
            server: *server,
            started_ms: *started_ms,
        })
        .collect();
    route.share = share;
    route.data_centre = head.data_centre;
    route.slots = Some(head.slots);
    route.memory_tokens = configuration.memory_tokens.get(&head.entry).copied();
    route.starts = starts.map(|starts| start_share(starts, share));
    route
}

/// Returns a node's share of a limit of starts for all nodes, whose shares add up to the part of it
/// that they use.
///
/// In a large fleet some nodes may start nothing at a backend server, but each has its share of
/// others. A node that doesn't know the others yet may start one request.
fn start_share(limit: u32, share: Share) -> u32 {
    count_starts(shared_starts(limit), share)
}

/// Returns a node's share of a limit of starts that coordinators grant. It is no less than that of
/// [`start_share`], so that nodes that decide by themselves keep within the limit beside others.
fn granted_share(limit: u32, share: Share) -> u32 {
    count_starts(granted_starts(limit), share)
}

fn count_starts(starts: u32, share: Share) -> u32 {
    if share == Share::NONE {
        return 1;
    }
    share.count(starts)
}

/// Returns the part of a limit of starts that all nodes use together.
pub(super) fn shared_starts(limit: u32) -> u32 {
    part_of(limit, START_LIMIT_SHARE)
}

/// Returns the part of a limit of starts that coordinators grant.
pub(super) fn granted_starts(limit: u32) -> u32 {
    part_of(limit, GRANTED_LIMIT_SHARE)
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "a part of a small count"
)]
fn part_of(limit: u32, part: f64) -> u32 {
    (f64::from(limit) * part) as u32
}

#[cfg(test)]
mod tests;
