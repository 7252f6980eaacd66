//! The other live nodes, and what they are asked for.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use tanagerhub_catalogue::{DataCentreId, NodeId};
use tanagerhub_clock::Moment;

use crate::relay_order::relay_order;

use super::node_entry::NodeEntry;
use super::{MISSED_WRITES_LIMIT, Peer, Presence, ROW_DELAY_TOLERANCE, RelayEndpoint};

/// The number of other nodes that are asked about a VM.
const WITNESS_COUNT: usize = 3;
/// The maximum number of nodes whose promises extend a planner's term.
const GUARANTOR_COUNT: usize = 3;

impl Presence {
    /// Returns the other nodes that may send requests to backend servers, for limits that all nodes
    /// share; `None` before the rows were first read.
    ///
    /// Unlike those of [`live_nodes`](Self::live_nodes), nodes don't disappear while the rows can't
    /// be read.
    #[must_use]
    pub fn sending_nodes(&self, now: Moment) -> Option<Vec<NodeId>> {
        let others = self.sending_entries(self.read_at?, now);
        Some(others.map(|(name, _)| NodeId::of(name)).collect())
    }

    /// Returns those of the [`sending_nodes`](Self::sending_nodes) that have an endpoint, including
    /// nodes that are stopping.
    #[must_use]
    pub fn sending_peers(&self, now: Moment) -> Vec<Peer> {
        let Some(read_at) = self.read_at else {
            return Vec::new();
        };
        let others = self.sending_entries(read_at, now);
        others
            .filter_map(|(name, entry)| entry.peer(name))
            .collect()
    }

    /// Returns the other nodes whose rows are recent, or were when the rows were last read.
    fn sending_entries(
        &self,
        read_at: Moment,
        now: Moment,
    ) -> impl Iterator<Item = (&String, &NodeEntry)> {
        let at = if self.read_failed { read_at } else { now };
        let timeout = self.write_interval() * MISSED_WRITES_LIMIT;
        self.nodes.iter().filter(move |(name, entry)| {
            **name != self.node && at.since(entry.updated_at.max(entry.outage_end)) < timeout
        })
    }

    /// Returns the endpoints of the other live nodes that are not stopping.
    #[must_use]
    pub fn peers(&self, now: Moment) -> Vec<Peer> {
        let others = self
            .live_entries(now)
            .filter(|(name, entry)| **name != self.node && !entry.is_stopping());
        others
            .filter_map(|(name, entry)| entry.peer(name))
            .collect()
    }

    /// Returns the addresses of the other live nodes, which may become the planner, by name.
    #[must_use]
    pub fn successors(&self, now: Moment) -> Vec<SocketAddr> {
        let endpoints = self.successor_endpoints(now);
        endpoints.map(|endpoint| endpoint.address).collect()
    }

    /// Returns the addresses of the nodes whose promises are to extend this planner's term: one of
    /// each data centre first, so that the loss of one leaves others to ask.
    #[must_use]
    pub fn guarantors(&self, now: Moment) -> Vec<SocketAddr> {
        let mut centres = BTreeSet::new();
        let endpoints = self.successor_endpoints(now);
        let (first, others): (Vec<_>, Vec<_>) =
            endpoints.partition(|endpoint| centres.insert(endpoint.data_centre));
        let chosen = first.iter().chain(&others).take(GUARANTOR_COUNT);
        chosen.map(|endpoint| endpoint.address).collect()
    }

    /// Returns the endpoints of the other live nodes that are not stopping.
    fn successor_endpoints(&self, now: Moment) -> impl Iterator<Item = RelayEndpoint> {
        let at = self.read_at.filter(|_| self.read_failed).unwrap_or(now);
        let timeout = self.write_interval() + ROW_DELAY_TOLERANCE;
        let is_live = move |entry: &NodeEntry| {
            !entry.is_stopping() && at.since(entry.updated_at.max(entry.outage_end)) < timeout
        };
        let others = self.nodes.iter();
        let others = others.filter(move |(name, entry)| **name != self.node && is_live(entry));
        others.filter_map(|(_, entry)| entry.relay())
    }

    /// Returns the address of the process with a boot id, if its row is known.
    #[must_use]
    pub fn address_of(&self, boot: u64) -> Option<SocketAddr> {
        let rows = self.nodes.values().filter_map(NodeEntry::row);
        let mut rows = rows.filter(|row| row.boot == boot);
        rows.find_map(|row| row.relay).map(|relay| relay.address)
    }

    /// Returns the address at which this node serves other nodes.
    #[must_use]
    pub fn own_address(&self) -> Option<SocketAddr> {
        self.own.relay.map(|relay| relay.address)
    }

    /// Returns the addresses of a few other nodes to ask about a VM, from all parts of the fleet.
    #[must_use]
    pub fn witnesses(&self, now: Moment) -> Vec<SocketAddr> {
        let mut others = self.sending_peers(now);
        others.retain(|peer| !peer.stopping);
        let step = others.len().div_ceil(WITNESS_COUNT).max(1);
        let chosen = others.iter().step_by(step);
        chosen.map(|peer| peer.endpoint.address).collect()
    }

    /// Returns the relay addresses to read the store's rows from, in order of preference. The list
    /// is empty if this node is to read from the store.
    ///
    /// A node reads from nodes of its data centre that precede it by name, so relays form no
    /// cycles. They form a tree in which each node relays to few others, see `relay_order`.
    #[must_use]
    pub fn relay_addresses(&self, now: Moment) -> Vec<SocketAddr> {
        let Some(own) = self.own.relay else {
            return Vec::new();
        };
        let preceding: Vec<SocketAddr> = self
            .live_entries(now)
            .filter(|(name, entry)| **name < self.node && !entry.is_stopping())
            .filter_map(|(_, entry)| entry.relay())
            .filter(|relay| relay.data_centre == own.data_centre)
            .map(|relay| relay.address)
            .collect();
        let order = relay_order(preceding.len());
        order.map(|index| preceding[index]).collect()
    }

    /// Returns the number of nodes that read rows from the store itself if no relay fails.
    #[must_use]
    pub fn store_readers(&self, now: Moment) -> usize {
        let Some(own) = self.own.relay else {
            return self.live_nodes(now);
        };
        let relays = self
            .live_entries(now)
            .filter_map(|(_, entry)| entry.relay());
        let data_centres: BTreeSet<DataCentreId> = relays
            .map(|relay| relay.data_centre)
            .chain([own.data_centre])
            .collect();
        let without_relay = self
            .live_entries(now)
            .filter(|(name, entry)| **name != self.node && entry.relay().is_none());
        data_centres.len() + without_relay.count()
    }

    pub(super) fn live_entries(&self, now: Moment) -> impl Iterator<Item = (&String, &NodeEntry)> {
        let timeout = self.write_interval() * MISSED_WRITES_LIMIT;
        let live = move |entry: &NodeEntry| now.since(entry.updated_at) < timeout;
        self.nodes.iter().filter(move |(_, entry)| live(entry))
    }
}
