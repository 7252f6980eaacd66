//! Probes, their responses, and acknowledgements.

use std::net::SocketAddr;
use std::time::Duration;

use rand::RngExt;
use rand::seq::SliceRandom;
use tanagerhub_catalogue::{CatalogueVersion, NodeId};
use tanagerhub_clock::Moment;
use xxhash_rust::xxh3::xxh3_64;

use super::Membership;
use crate::{
    Ack, AckRequest, Beacon, BeaconBody, CatalogueHead, MembershipAction, NodeSlot, Peer,
    PeerRequest, Probe, ProbeResponse, ProbeResponseHead, Standing,
};

/// Time after which a probe without a response is dropped.
const PROBE_TIMEOUT: Duration = Duration::from_secs(2);
/// Minimum time between two requests for the list of slots.
const SLOTS_REQUEST_PERIOD: Duration = Duration::from_secs(2);

/// A probe without a response so far.
#[derive(Debug, Clone, Copy)]
pub(super) struct OpenProbe {
    sent: Moment,
}

/// The state that a peer last reported of itself.
#[derive(Debug, Clone, Copy)]
pub(super) struct PeerReport {
    version: CatalogueVersion,
    load: u16,
}

impl Membership {
    pub(super) fn send_due_probes(&mut self, now: Moment) {
        self.probes
            .retain(|_, probe| now.since(probe.sent) < PROBE_TIMEOUT);
        if now >= self.probe_due {
            self.probe_due = now + self.jitter(self.settings.probe_period);
            for to in self.region_targets() {
                self.send_probe(to, now);
            }
            self.request_slots_from_seed(now);
        }
        if now >= self.remote_due {
            self.remote_due = now + self.jitter(self.settings.remote_period);
            if let Some(to) = self.remote_target() {
                self.send_probe(to, now);
            }
        }
    }

    /// Returns the peers to probe in this round: all of the region while this process does not
    /// count towards a majority.
    fn region_targets(&mut self) -> Vec<SocketAddr> {
        let count = if self.standing == Standing::Member {
            self.settings.fanout
        } else {
            self.probe_order = self.shuffled_region();
            self.probe_order.len()
        };
        let picks: Vec<_> = (0..count).filter_map(|_| self.next_target()).collect();
        let rows = picks.iter().filter_map(|node| self.slots.row(*node));
        rows.map(|row| row.slot.address).collect()
    }

    /// Returns the next peer of the region; each peer is returned once before any is repeated.
    fn next_target(&mut self) -> Option<NodeId> {
        if self.probe_order.is_empty() {
            self.probe_order = self.shuffled_region();
        }
        self.probe_order.pop()
    }

    fn shuffled_region(&mut self) -> Vec<NodeId> {
        let own = self.settings.node;
        let nodes = self.slots.nodes(&self.settings.region).iter().copied();
        let mut others: Vec<_> = nodes.filter(|node| *node != own).collect();
        others.shuffle(&mut self.rng);
        others
    }

    /// Returns the address of a random node of another region.
    fn remote_target(&mut self) -> Option<SocketAddr> {
        let region = &self.settings.region;
        let remote = self.slots.all().filter(|slot| slot.region != *region);
        let remote: Vec<_> = remote.map(|slot| slot.address).collect();
        if remote.is_empty() {
            return None;
        }
        Some(remote[self.rng.random_range(0..remote.len())])
    }

    fn send_probe(&mut self, to: SocketAddr, now: Moment) {
        let nonce = self.rng.random();
        let region = &self.settings.region;
        let probe = Probe {
            nonce,
            region: xxh3_64(region.as_bytes()),
            version: self.version(),
            digest: self.facts.digest(),
            slots: self.slots.digest(region),
        };
        self.probes.insert(nonce, OpenProbe { sent: now });
        self.counters.probes += 1;
        self.send_beacon(to, BeaconBody::Probe(probe));
    }

    /// Requests the slots from a random seed while none are known.
    fn request_slots_from_seed(&mut self, now: Moment) {
        if self.slot_count() > 0 || self.settings.seeds.is_empty() {
            return;
        }
        let pick = self.rng.random_range(0..self.settings.seeds.len());
        self.request_slots(self.settings.seeds[pick], now);
    }

    pub(super) fn request_slots(&mut self, to: SocketAddr, now: Moment) {
        let recent = |at| now.since(at) < SLOTS_REQUEST_PERIOD;
        if to == self.settings.address || self.slots_requested_at.is_some_and(recent) {
            return;
        }
        self.slots_requested_at = Some(now);
        self.send_request(to, PeerRequest::Slots);
    }

    pub(super) fn on_beacon(&mut self, now: Moment, from: SocketAddr, beacon: Beacon) {
        if beacon.node == self.settings.node {
            return;
        }
        let newest = self.slots.record_identity(beacon.node, beacon.identity);
        if !newest {
            self.counters.outdated += 1;
        }
        match beacon.body {
            BeaconBody::Probe(probe) => self.respond_to_probe(now, from, beacon.node, &probe),
            BeaconBody::Response(body) if newest => self.on_response(now, from, beacon.node, &body),
            BeaconBody::Ack(ack) if newest => self.on_ack(now, beacon.node, beacon.identity, ack),
            BeaconBody::AckRequest(ack_request) => self.on_ack_request(now, from, ack_request),
            BeaconBody::Response(_) | BeaconBody::Ack(_) => {}
        }
    }

    /// Applies a response; all ages in it grow by the time since the probe was sent.
    fn on_response(
        &mut self,
        now: Moment,
        from: SocketAddr,
        node: NodeId,
        response: &ProbeResponse,
    ) {
        let Some(probe) = self.probes.remove(&response.nonce) else {
            self.counters.unmatched += 1;
            return;
        };
        self.counters.heard += 1;
        if response.prober > self.identity {
            self.rejoin(response.prober, now);
            return;
        }
        let head = Self::head_of(response.head);
        self.update_newest(head, Some(from), now);
        self.record_confirmations(now, node, response, probe.sent);
        self.record_facts(now, response, probe.sent);
        if response.standing == Standing::Member || self.standing == Standing::Paused {
            self.update_adoption(node, head, response.prober);
            self.try_joining();
        }
        if response.slots != self.slots.digest(&self.settings.region) && self.is_same_region(node) {
            self.request_slots(from, now);
        }
    }

    fn head_of(head: ProbeResponseHead) -> CatalogueHead {
        match head {
            ProbeResponseHead::Newer(head) => head,
            ProbeResponseHead::Version(version) => CatalogueHead {
                version,
                ..CatalogueHead::default()
            },
        }
    }

    fn is_same_region(&self, node: NodeId) -> bool {
        let row = self.slots.row(node);
        row.is_none_or(|row| row.slot.region == self.settings.region)
    }

    fn record_confirmations(
        &mut self,
        now: Moment,
        node: NodeId,
        response: &ProbeResponse,
        sent: Moment,
    ) {
        let max_version = response.head.version();
        if let Some(age) = response.store_age.to_duration() {
            self.confirmations
                .record_store(max_version, sent.before(age));
        }
        if !self.is_same_region(node) {
            return;
        }
        let same_slots = response.slots == self.slots.digest(&self.settings.region);
        if response.standing == Standing::Member && same_slots {
            self.confirmations.record_slot(node, max_version, sent);
        }
        let report = PeerReport {
            version: max_version,
            load: response.load,
        };
        self.peer_reports.insert(node, report);
        self.record_ages(now, response, sent);
    }

    fn record_ages(&mut self, now: Moment, response: &ProbeResponse, sent: Moment) {
        let region = &self.settings.region;
        if response.slots != self.slots.digest(region) {
            return;
        }
        let slots = self.slots.nodes(region).to_vec();
        for (slot, age) in slots.iter().zip(&response.ages) {
            let Some(age) = age.to_duration().filter(|_| *slot != self.settings.node) else {
                continue;
            };
            let max_version = response.head.version();
            self.confirmations
                .record_slot(*slot, max_version, sent.before(age));
        }
        for index in &response.leaving {
            if let Some(slot) = slots.get(usize::from(*index)) {
                self.leaving_reported_at.insert(*slot, now);
            }
        }
    }

    fn record_facts(&mut self, now: Moment, response: &ProbeResponse, sent: Moment) {
        let updates = self.facts.merge(&response.facts, now.since(sent), now);
        if !updates.is_empty() {
            self.push_action(MembershipAction::Facts(updates));
        }
    }

    /// Acknowledges a version to the node that propagates it, once this node holds that version.
    pub(super) fn on_ack_request(
        &mut self,
        now: Moment,
        from: SocketAddr,
        ack_request: AckRequest,
    ) {
        self.update_newest(ack_request.head, None, now);
        self.pending_ack_request = None;
        // An acknowledgement is valid only between nodes that have the same list of slots.
        if ack_request.slots != self.slots.digest(&self.settings.region) {
            self.request_slots(from, now);
            return;
        }
        if self.standing != Standing::Member {
            return;
        }
        if self.version() < ack_request.head.version {
            self.pending_ack_request = Some((from, ack_request));
            return;
        }
        let ack = Ack {
            token: ack_request.token,
            round: ack_request.round,
            version: self.version(),
        };
        self.send_beacon(from, BeaconBody::Ack(ack));
    }

    pub(super) fn send_beacon(&mut self, to: SocketAddr, body: BeaconBody) {
        let beacon = Beacon {
            node: self.settings.node,
            identity: self.identity,
            body,
        };
        self.push_action(MembershipAction::SendBeacon { to, beacon });
    }

    pub(super) fn is_live(&self, node: NodeId, now: Moment) -> bool {
        let seen = self.confirmations.slot_confirmation(node);
        let recent = seen.is_some_and(|it| now.since(it.at) < self.settings.freshness_limit);
        recent && node != self.settings.node
    }

    pub(super) fn peer(&self, node: NodeId, slot: &NodeSlot, now: Moment) -> Peer {
        let report = self.peer_reports.get(&node);
        Peer {
            node,
            address: slot.address,
            data_centre: slot.data_centre,
            identity: self.slots.identity(node),
            version: report.map_or_else(CatalogueVersion::default, |it| it.version),
            load: report.map_or(0, |it| it.load),
            leaving: self.is_node_leaving(node, now),
            age: self
                .confirmations
                .slot_confirmation(node)
                .map(|it| now.since(it.at)),
        }
    }
}
