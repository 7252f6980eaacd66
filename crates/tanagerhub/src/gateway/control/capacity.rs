//! Tells the carrier and the traffic decisions who coordinates which backend servers.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::Duration;

use tanagerhub_capacity::{CoordinatedGroup, Shard};
use tanagerhub_catalogue::{DataCentreId, EntryId, NodeId, VmId};
use tanagerhub_clock::Moment;
use tanagerhub_groups::{Demand, EntryDemand, GroupsEvent, Head, Peer};

use super::GatewayControl;
use super::routes::{granted_starts, shared_starts};
use crate::gateway::Configuration;
use crate::gateway::capacity::{
    CapacitySwitch, Carrier, NodeAddresses, PoolSwitch, rendezvous_order,
};
use crate::gateway::state_dump::CapacityDump;

/// The interval at which the metrics of shared capacity are updated.
const RECORD_INTERVAL: Duration = Duration::from_secs(1);
/// The interval at which the group decisions get the demand, which is counted over 3 s.
const DEMAND_INTERVAL: Duration = Duration::from_secs(1);

/// What the control thread has published for shared capacity.
#[derive(Debug, Default)]
pub(crate) struct CapacityView {
    switch: CapacitySwitch,
    pools: PoolSwitch,
    /// The shards that have backend servers.
    used: BTreeSet<Shard>,
    /// Whether this node's coordinators have backend servers.
    has_groups: bool,
    /// The other live nodes, including those that are stopping.
    peers: Vec<Peer>,
    shards: BTreeMap<Shard, Vec<NodeId>>,
    /// The node that is to coordinate each shard of this node's coordinators; `None` for this node
    /// itself.
    next: BTreeMap<Shard, Option<NodeId>>,
    /// When the metrics were last updated.
    recorded_at: Moment,
    /// When the demand was last passed on.
    demand_at: Moment,
}

impl GatewayControl {
    /// Decides which entries are coordinated. `others` are the nodes that share the limits; while
    /// they are unknown, nothing changes.
    pub(super) fn update_switch(
        &mut self,
        configuration: &Configuration,
        others: Option<&[NodeId]>,
    ) {
        let (Some(_), Some(others)) = (&self.carrier, others) else {
            return;
        };
        let nodes = u32::try_from(others.len().saturating_add(1)).unwrap_or(u32::MAX);
        let limits = configuration.start_limits.iter();
        let starts: HashMap<_, _> = limits
            .map(|(entry, limit)| (*entry, shared_starts(*limit)))
            .collect();
        let switch = &mut self.view.capacity.switch;
        if switch.update(&starts, nodes) {
            log::info!(entries = switch.count(), nodes; "coordinated entries changed");
        }
    }

    /// Decides which coordinated entries have a shard of their own.
    pub(super) fn update_pools(&mut self, now: Moment, heads: &[Head]) {
        let mut groups = BTreeMap::<EntryId, usize>::new();
        for head in heads.iter().filter(|head| self.is_shared(head)) {
            *groups.entry(head.entry).or_default() += 1;
        }
        // Entries that have lost all their groups stay as they are.
        for entry in self.view.capacity.switch.entries() {
            groups.entry(entry).or_default();
        }
        let centres = self.region_size(heads);
        let in_use = self.view.in_use;
        let pools = &mut self.view.capacity.pools;
        if pools.update(now, &groups, centres, in_use) {
            log::info!(entries = pools.count(), centres; "pooled entries changed");
        }
    }

    /// Whether a change of the pooled entries is due although the groups are the same.
    pub(super) fn are_pools_due(&self, now: Moment) -> bool {
        self.view.capacity.pools.is_due(now)
    }

    /// Returns the number of data centres of the region.
    fn region_size(&self, heads: &[Head]) -> usize {
        if let Some(centres) = &self.region {
            return centres.len();
        }
        let peers = self.view.capacity.peers.iter();
        let centres = peers.map(|peer| peer.endpoint.data_centre);
        let centres = centres.chain(heads.iter().map(|head| head.data_centre));
        centres.collect::<BTreeSet<_>>().len()
    }

    /// Whether the starts at a backend server are granted by a coordinator.
    fn is_shared(&self, head: &Head) -> bool {
        let is_coordinated = self.view.capacity.switch.is_coordinated(head.entry);
        is_coordinated && self.is_in_region(head.data_centre)
    }

    /// Returns the shard of a coordinated backend server; `None` for any other one.
    pub(super) fn shard(&self, head: &Head) -> Option<Shard> {
        let shard = if self.view.capacity.pools.is_pooled(head.entry) {
            Shard::Entry(head.entry)
        } else {
            Shard::DataCentre(head.data_centre)
        };
        self.is_shared(head).then_some(shard)
    }

    /// Returns the shards as whose coordinator this node may be asked for a backend server.
    fn own_shards(&self, head: &Head, own: DataCentreId) -> impl Iterator<Item = Shard> {
        let pools = &self.view.capacity.pools;
        let is_shared = self.is_shared(head);
        let is_own = is_shared && head.data_centre == own;
        let is_pooled = is_shared && pools.uses_entry_shard(head.entry);
        let centre = (is_own && pools.uses_centre_shards(head.entry))
            .then_some(Shard::DataCentre(head.data_centre));
        let entry = is_pooled.then_some(Shard::Entry(head.entry));
        centre.into_iter().chain(entry)
    }

    /// Publishes the coordinated backend servers after a change of the routes.
    pub(super) fn publish_groups(&mut self, configuration: &Configuration, heads: &[Head]) {
        let Some(carrier) = self.carrier.clone() else {
            return;
        };
        let own = carrier.identity().data_centre;
        let mut groups = BTreeMap::<Shard, Vec<CoordinatedGroup>>::new();
        for head in heads {
            let group = || CoordinatedGroup {
                group: head.group,
                epoch: head.epoch,
                server: VmId::of(&head.name),
                entry: head.entry,
                data_centre: head.data_centre,
                slots: head.slots,
                start_limit: granted_starts(configuration.start_limits[&head.entry]),
                memory_tokens: configuration.memory_tokens.get(&head.entry).copied(),
                token_read_time: token_read_time(configuration, head.entry),
            };
            for shard in self.own_shards(head, own) {
                groups.entry(shard).or_default().push(group());
            }
        }
        let used = heads.iter().filter_map(|head| self.shard(head));
        self.view.capacity.used = used.collect();
        if groups.is_empty() && !self.view.capacity.has_groups {
            return;
        }
        self.view.capacity.has_groups = !groups.is_empty();
        carrier.set_groups(&groups);
    }

    /// Publishes the live nodes and the order in which they become coordinators, if they have
    /// changed.
    pub(super) fn update_capacity(&mut self, now: Moment) {
        let Some(carrier) = self.carrier.clone() else {
            return;
        };
        self.record_capacity(now, &carrier);
        self.pass_demand(now);
        let peers = self.presence.sending_peers(now);
        if peers != self.view.capacity.peers {
            carrier.set_nodes(NodeAddresses::new(&peers));
            self.view.capacity.peers = peers;
        }
        for shard in carrier.shards() {
            self.update_next(&carrier, shard);
        }
        let used = self.view.capacity.used.iter();
        let shards = used.map(|shard| (*shard, self.candidates(*shard)));
        let shards: BTreeMap<_, _> = shards.filter(|(_, nodes)| !nodes.is_empty()).collect();
        if shards != self.view.capacity.shards {
            self.traffic
                .with(|traffic, now| traffic.set_shards(now, &shards));
            self.view.capacity.shards = shards;
        }
    }

    /// Tells this node's coordinator of a shard which node is first in its order.
    fn update_next(&mut self, carrier: &Carrier, shard: Shard) {
        let own = carrier.identity().node;
        let first = self.candidates(shard).first().copied();
        let next = first.filter(|first| *first != own);
        let known = self.view.capacity.next.insert(shard, next);
        if known.unwrap_or_default() != next {
            log::info!(shard:%, next:? = next; "first coordinator of a shard changed");
            carrier.set_next(shard, next);
        }
    }

    /// Passes the demand that the coordinators report to the group decisions, if it is known.
    ///
    /// Every node does so, so that a new planner knows it at once.
    fn pass_demand(&mut self, now: Moment) {
        let view = &mut self.view.capacity;
        if view.shards.is_empty() || now.since(view.demand_at) < DEMAND_INTERVAL {
            return;
        }
        view.demand_at = now;
        self.record_composition();
        let loads = self.traffic.update(|traffic, now| traffic.entry_loads(now));
        let Some(loads) = loads else {
            return;
        };
        let entries = loads.into_iter().map(|load| EntryDemand {
            entry: load.entry,
            asks: load.asks,
            missed: load.missed,
            running: load.running,
            limit: load.limit,
        });
        let centres = self.region.as_ref().map(|it| it.iter().copied().collect());
        let demand = Demand {
            centres,
            entries: entries.collect(),
        };
        self.handle_groups_event(now, GroupsEvent::Demand(demand));
    }

    /// Updates the metrics of the composition of groups, which only the planner decides on.
    fn record_composition(&self) {
        let models = if self.groups.is_planning() {
            self.groups.model_statuses()
        } else {
            Vec::new()
        };
        self.metrics.record_composition(&models);
    }

    /// Updates the metrics of shared capacity, if they are due.
    fn record_capacity(&mut self, now: Moment, carrier: &Carrier) {
        let view = &mut self.view.capacity;
        let is_used = view.has_groups || !view.shards.is_empty();
        if !is_used || now.since(view.recorded_at) < RECORD_INTERVAL {
            return;
        }
        view.recorded_at = now;
        let metrics = self.metrics.capacity();
        metrics.record_coordinators(&carrier.status());
        let status = self
            .traffic
            .update(|traffic, now| traffic.capacity_status(now));
        if let Some(status) = status {
            metrics.record_borrower(&status);
        }
    }

    /// Releases the lenders of this node's coordinators, which name the next ones to them.
    pub(super) fn stop_coordinator(&mut self, now: Moment) {
        self.update_capacity(now);
        if let Some(carrier) = &self.carrier {
            carrier.stop();
        }
    }

    pub(super) fn capacity_dump(&self) -> Option<CapacityDump> {
        let carrier = self.carrier.as_ref()?;
        let shards = &self.view.capacity.shards;
        (!shards.is_empty()).then(|| CapacityDump {
            candidates: shards
                .iter()
                .map(|(shard, nodes)| (shard.to_string(), nodes.clone()))
                .collect(),
            node: self
                .traffic
                .update(|traffic, now| traffic.capacity_status(now)),
            coordinators: carrier.status(),
        })
    }

    /// Returns the nodes that may coordinate a shard, in order.
    fn candidates(&self, shard: Shard) -> Vec<NodeId> {
        let may_coordinate = |data_centre: DataCentreId| match shard {
            Shard::DataCentre(id) => data_centre == id,
            Shard::Entry(_) => self.is_in_region(data_centre),
        };
        let peers = self.view.capacity.peers.iter();
        let others =
            peers.filter(|peer| may_coordinate(peer.endpoint.data_centre) && !peer.stopping);
        let own = self.carrier.as_ref().map(|carrier| carrier.identity());
        let own = own.filter(|own| may_coordinate(own.data_centre) && !self.view.draining);
        let nodes = others.map(|peer| peer.node).chain(own.map(|own| own.node));
        rendezvous_order(shard, nodes.collect())
    }
}

fn token_read_time(configuration: &Configuration, entry: EntryId) -> Duration {
    let times = &configuration.token_read_times;
    times.get(&entry).copied().unwrap_or_default()
}
