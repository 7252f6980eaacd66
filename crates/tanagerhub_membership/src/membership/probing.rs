//! Probes, answers and acknowledgements.

use std::net::SocketAddr;
use std::time::Duration;

use rand::RngExt;
use rand::seq::SliceRandom;
use tanagerhub_catalogue::{CatalogueVersion, NodeId};
use tanagerhub_clock::Moment;
use xxhash_rust::xxh3::xxh3_64;

use super::Membership;
use crate::{
    Answer, AnswerHead, Beacon, BeaconBody, CatalogueHead, DirectoryDigest, FactBatch, Held, Hold,
    MembershipAction, NodeSlot, Peer, PeerRequest, Probe, Short, Standing,
};

/// A probe without an answer for this long is forgotten.
const PROBE_LIMIT: Duration = Duration::from_secs(2);
/// Time between two requests for the list of slots.
const SLOTS_ASK_PERIOD: Duration = Duration::from_secs(2);

/// A probe that waits for its answer.
#[derive(Debug, Clone, Copy)]
pub(super) struct OpenProbe {
    sent: Moment,
}

/// What a peer said of itself.
#[derive(Debug, Clone, Copy)]
pub(super) struct Heard {
    version: CatalogueVersion,
    load: u16,
}

impl Membership {
    pub(super) fn probe_due(&mut self, now: Moment) {
        self.probes
            .retain(|_, probe| now.since(probe.sent) < PROBE_LIMIT);
        if now >= self.probe_due {
            self.probe_due = now + self.jitter(self.settings.probe_period);
            for to in self.near_targets() {
                self.probe(to, now);
            }
            self.ask_seeds(now);
        }
        if now >= self.far_due {
            self.far_due = now + self.jitter(self.settings.far_period);
            if let Some(to) = self.far_target() {
                self.probe(to, now);
            }
        }
    }

    /// Peers to probe in this round: all of the region, while this process doesn't count.
    fn near_targets(&mut self) -> Vec<SocketAddr> {
        let count = if self.standing == Standing::Member {
            self.settings.fanout
        } else {
            self.deck = self.shuffled_region();
            self.deck.len()
        };
        let picks: Vec<_> = (0..count).filter_map(|_| self.next_target()).collect();
        let rows = picks.iter().filter_map(|node| self.slots.row(*node));
        rows.map(|row| row.slot.address).collect()
    }

    /// The next peer of the region; none comes again before all others have come.
    fn next_target(&mut self) -> Option<NodeId> {
        if self.deck.is_empty() {
            self.deck = self.shuffled_region();
        }
        self.deck.pop()
    }

    fn shuffled_region(&mut self) -> Vec<NodeId> {
        let own = self.settings.node;
        let nodes = self.slots.nodes(&self.settings.region).iter().copied();
        let mut others: Vec<_> = nodes.filter(|node| *node != own).collect();
        others.shuffle(&mut self.rng);
        others
    }

    /// One node of another region, at random.
    fn far_target(&mut self) -> Option<SocketAddr> {
        let region = &self.settings.region;
        let far = self.slots.all().filter(|slot| slot.region != *region);
        let far: Vec<_> = far.map(|slot| slot.address).collect();
        if far.is_empty() {
            return None;
        }
        Some(far[self.rng.random_range(0..far.len())])
    }

    fn probe(&mut self, to: SocketAddr, now: Moment) {
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
        self.send(to, BeaconBody::Probe(probe));
    }

    /// Asks a seed for the slots, while none are known.
    fn ask_seeds(&mut self, now: Moment) {
        if self.slot_count() > 0 || self.settings.seeds.is_empty() {
            return;
        }
        let pick = self.rng.random_range(0..self.settings.seeds.len());
        self.ask_slots(self.settings.seeds[pick], now);
    }

    pub(super) fn ask_slots(&mut self, to: SocketAddr, now: Moment) {
        let recent = |at| now.since(at) < SLOTS_ASK_PERIOD;
        if to == self.settings.address || self.slots_asked.is_some_and(recent) {
            return;
        }
        self.slots_asked = Some(now);
        self.ask(to, PeerRequest::Slots);
    }

    pub(super) fn beacon(&mut self, now: Moment, from: SocketAddr, beacon: Beacon) {
        if beacon.node == self.settings.node {
            return;
        }
        let newest = self.slots.meet(beacon.node, beacon.identity);
        if !newest {
            self.counters.outdated += 1;
        }
        match beacon.body {
            BeaconBody::Probe(probe) => self.answer(now, from, beacon.node, &probe),
            BeaconBody::Answer(answer) if newest => self.answered(now, from, beacon.node, &answer),
            BeaconBody::Held(held) if newest => self.held(now, beacon.node, beacon.identity, held),
            BeaconBody::Hold(hold) => self.hold(now, from, hold),
            BeaconBody::Answer(_) | BeaconBody::Held(_) => {}
        }
    }

    fn answer(&mut self, now: Moment, to: SocketAddr, asker: NodeId, probe: &Probe) {
        let region = self.settings.region.clone();
        let slots = self.slots.digest(&region);
        let near = probe.region == xxh3_64(region.as_bytes());
        let same_slots = near && slots == probe.slots;
        if near && !same_slots {
            self.ask_slots(to, now);
        }
        let answer = Answer {
            nonce: probe.nonce,
            standing: self.standing,
            head: self.answer_head(probe.version),
            store_age: self.store_age(now),
            asker: self.slots.identity(asker),
            slots,
            ages: if same_slots {
                self.slot_ages(now)
            } else {
                Vec::new()
            },
            leaving: if same_slots {
                self.leaving_places(now)
            } else {
                Vec::new()
            },
            load: self.load,
            facts: self.fact_batch(near, &probe.digest, now),
        };
        self.counters.answers += 1;
        self.send(to, BeaconBody::Answer(Box::new(answer)));
    }

    fn answer_head(&self, asker: CatalogueVersion) -> AnswerHead {
        if self.version() > asker {
            AnswerHead::Newer(self.held.head())
        } else {
            AnswerHead::Version(self.version())
        }
    }

    fn fact_batch(&mut self, near: bool, digest: &DirectoryDigest, now: Moment) -> FactBatch {
        if near {
            self.facts.batch(digest, now)
        } else {
            self.facts.far_batch(now)
        }
    }

    fn store_age(&self, now: Moment) -> Short {
        let seen = self.confirmations.store_seen();
        let seen = seen.filter(|seen| seen.bound <= self.version());
        seen.map_or(Short::UNKNOWN, |seen| Short::of(now.since(seen.at)))
    }

    /// Per slot of the region: since it was known to hold nothing newer than this node.
    fn slot_ages(&self, now: Moment) -> Vec<Short> {
        let slots = self.slots.nodes(&self.settings.region).iter();
        slots.map(|slot| self.slot_age(*slot, now)).collect()
    }

    fn slot_age(&self, node: NodeId, now: Moment) -> Short {
        if node == self.settings.node {
            return if self.standing == Standing::Member {
                Short::of(Duration::ZERO)
            } else {
                Short::UNKNOWN
            };
        }
        let seen = self.confirmations.slot_seen(node);
        let seen = seen.filter(|seen| seen.bound <= self.version());
        seen.map_or(Short::UNKNOWN, |seen| Short::of(now.since(seen.at)))
    }

    fn leaving_places(&self, now: Moment) -> Vec<u16> {
        let slots = self.slots.nodes(&self.settings.region).iter();
        let leaves = slots.map(|slot| self.leaves(*slot, now));
        let places = leaves.enumerate().filter(|(_, leaves)| *leaves);
        places
            .filter_map(|(place, _)| u16::try_from(place).ok())
            .collect()
    }

    fn leaves(&self, node: NodeId, now: Moment) -> bool {
        if node == self.settings.node {
            return self.leaving;
        }
        let seen = self.leaving_seen.get(&node);
        seen.is_some_and(|at| now.since(*at) < self.settings.freshness_limit)
    }

    /// Takes in an answer; all ages in it grow by the time since the probe was sent.
    fn answered(&mut self, now: Moment, from: SocketAddr, node: NodeId, answer: &Answer) {
        let Some(probe) = self.probes.remove(&answer.nonce) else {
            self.counters.unmatched += 1;
            return;
        };
        self.counters.heard += 1;
        if answer.asker > self.identity {
            self.rejoin(answer.asker, now);
            return;
        }
        let head = Self::head_of(answer.head);
        self.hear_of(head, Some(from), now);
        self.note_confirmations(now, node, answer, probe.sent);
        self.note_facts(now, answer, probe.sent);
        if answer.standing == Standing::Member || self.standing == Standing::Paused {
            self.answered_while_out(node, head, answer.asker);
            self.try_joining();
        }
        if answer.slots != self.slots.digest(&self.settings.region) && self.is_near(node) {
            self.ask_slots(from, now);
        }
    }

    fn head_of(head: AnswerHead) -> CatalogueHead {
        match head {
            AnswerHead::Newer(head) => head,
            AnswerHead::Version(version) => CatalogueHead {
                version,
                ..CatalogueHead::default()
            },
        }
    }

    fn is_near(&self, node: NodeId) -> bool {
        let row = self.slots.row(node);
        row.is_none_or(|row| row.slot.region == self.settings.region)
    }

    fn note_confirmations(&mut self, now: Moment, node: NodeId, answer: &Answer, sent: Moment) {
        let bound = answer.head.version();
        if let Some(age) = answer.store_age.span() {
            self.confirmations.store(bound, sent.before(age));
        }
        if !self.is_near(node) {
            return;
        }
        let same_slots = answer.slots == self.slots.digest(&self.settings.region);
        if answer.standing == Standing::Member && same_slots {
            self.confirmations.slot(node, bound, sent);
        }
        let said = Heard {
            version: bound,
            load: answer.load,
        };
        self.heard.insert(node, said);
        self.note_ages(now, answer, sent);
    }

    fn note_ages(&mut self, now: Moment, answer: &Answer, sent: Moment) {
        let region = &self.settings.region;
        if answer.slots != self.slots.digest(region) {
            return;
        }
        let slots = self.slots.nodes(region).to_vec();
        for (slot, age) in slots.iter().zip(&answer.ages) {
            let Some(age) = age.span().filter(|_| *slot != self.settings.node) else {
                continue;
            };
            let bound = answer.head.version();
            self.confirmations.slot(*slot, bound, sent.before(age));
        }
        for place in &answer.leaving {
            if let Some(slot) = slots.get(usize::from(*place)) {
                self.leaving_seen.insert(*slot, now);
            }
        }
    }

    fn note_facts(&mut self, now: Moment, answer: &Answer, sent: Moment) {
        let news = self.facts.merge(&answer.facts, now.since(sent), now);
        if !news.is_empty() {
            self.act(MembershipAction::Facts(news));
        }
    }

    /// Answers an operator's node, once the version is here.
    pub(super) fn hold(&mut self, now: Moment, from: SocketAddr, hold: Hold) {
        self.hear_of(hold.head, None, now);
        self.pending_hold = None;
        // An acknowledgement counts only among nodes that count the same slots.
        if hold.slots != self.slots.digest(&self.settings.region) {
            self.ask_slots(from, now);
            return;
        }
        if self.standing != Standing::Member {
            return;
        }
        if self.version() < hold.head.version {
            self.pending_hold = Some((from, hold));
            return;
        }
        let acknowledgement = Held {
            token: hold.token,
            round: hold.round,
            version: self.version(),
        };
        self.send(from, BeaconBody::Held(acknowledgement));
    }

    pub(super) fn send(&mut self, to: SocketAddr, body: BeaconBody) {
        let beacon = Beacon {
            node: self.settings.node,
            identity: self.identity,
            body,
        };
        self.act(MembershipAction::SendBeacon { to, beacon });
    }

    pub(super) fn is_live(&self, node: NodeId, now: Moment) -> bool {
        let seen = self.confirmations.slot_seen(node);
        let recent = seen.is_some_and(|it| now.since(it.at) < self.settings.freshness_limit);
        recent && node != self.settings.node
    }

    pub(super) fn peer(&self, node: NodeId, slot: &NodeSlot, now: Moment) -> Peer {
        let heard = self.heard.get(&node);
        Peer {
            node,
            address: slot.address,
            data_centre: slot.data_centre,
            identity: self.slots.identity(node),
            version: heard.map_or_else(CatalogueVersion::default, |it| it.version),
            load: heard.map_or(0, |it| it.load),
            leaving: self.leaves(node, now),
            age: self
                .confirmations
                .slot_seen(node)
                .map(|it| now.since(it.at)),
        }
    }
}
