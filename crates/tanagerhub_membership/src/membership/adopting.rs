//! Standing of the own process, and newer catalogues.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use rand::RngExt;
use tanagerhub_catalogue::NodeId;
use tanagerhub_clock::Moment;

use super::Membership;
use crate::{
    Adoption, AskId, CatalogueHead, ContentHash, Document, Identity, MembershipAction, PeerRequest,
    Standing, StoreState, majority,
};

/// A fetch without an answer for this long is tried elsewhere.
const FETCH_LIMIT: Duration = Duration::from_secs(1);

/// A document on its way.
#[derive(Debug, Clone, Copy)]
pub(super) struct OpenFetch {
    hash: ContentHash,
    sent: Moment,
    ask: Option<AskId>,
}

impl Membership {
    /// Stops counting after a silence: the slot may have been taken over meanwhile.
    pub(super) fn notice_pause(&mut self, now: Moment) {
        let last = self.last_event.replace(now);
        let silence = last.map_or(Duration::ZERO, |last| now.since(last));
        if silence < self.settings.pause_limit {
            return;
        }
        self.counters.pauses += 1;
        self.probes.clear();
        if self.standing == Standing::Member {
            self.standing = Standing::Paused;
            self.stale_since = now;
            self.verified.clear();
            self.probe_due = now;
        }
    }

    /// Starts over because another process took the slot, or may have.
    pub(super) fn rejoin(&mut self, other: Identity, now: Moment) {
        if self.standing == Standing::Member || self.standing == Standing::Paused {
            self.counters.takeovers += 1;
            self.stale_since = now;
        }
        self.standing = Standing::Starting;
        self.identity = other.successor(self.settings.boot);
        self.slots.meet(self.settings.node, self.identity);
        self.restart_adoption();
        self.probe_due = now;
        self.store.head_due = now;
    }

    /// Forgets the answers collected so far.
    pub(super) fn restart_adoption(&mut self) {
        self.adoption = Adoption::new(self.slot_count());
        self.adopting = None;
    }

    /// Takes in what another slot said to a process that doesn't count yet.
    pub(super) fn answered_while_out(
        &mut self,
        node: NodeId,
        head: CatalogueHead,
        known: Identity,
    ) {
        if known != self.identity {
            return;
        }
        match self.standing {
            Standing::Member => {}
            Standing::Starting => {
                self.adoption.answered(node, head.version);
                if self.adoption.highest().is_some() {
                    self.adopting = self.adoption.highest();
                }
            }
            Standing::Paused => {
                self.verified.insert(node);
                if self.verified.len() >= majority(self.slot_count()) {
                    self.standing = Standing::Member;
                }
            }
        }
    }

    /// Counts from now on, if the version to adopt is here.
    pub(super) fn try_joining(&mut self) {
        let ready = self.adopting.is_some_and(|wanted| self.version() >= wanted);
        if self.standing == Standing::Starting && ready && self.slot_count() > 0 {
            self.standing = Standing::Member;
            self.adopting = None;
        }
    }

    /// Notes that a version exists.
    pub(super) fn hear_of(&mut self, head: CatalogueHead, from: Option<SocketAddr>, now: Moment) {
        if head.version <= self.newest.version {
            return;
        }
        if self.newest.version <= self.version() {
            self.stale_since = now;
        }
        self.newest = head;
        self.newest_from = from;
        self.fetch = None;
        self.fetch_tries = 0;
        self.fetch_due(now);
    }

    /// Fetches the newest document, if it is not here and not on its way.
    pub(super) fn fetch_due(&mut self, now: Moment) {
        if self.newest.version <= self.version() {
            return;
        }
        let waits = |open: &OpenFetch| now.since(open.sent) < FETCH_LIMIT;
        if self.fetch.as_ref().is_some_and(waits) {
            return;
        }
        let hash = self.newest.hash;
        let ask = self
            .fetch_source()
            .map(|to| self.ask(to, PeerRequest::Document(hash)));
        if ask.is_none() {
            self.act(MembershipAction::Fetch(hash));
        }
        self.counters.fetches += 1;
        self.fetch_tries += 1;
        self.fetch = Some(OpenFetch {
            hash,
            sent: now,
            ask,
        });
    }

    /// The peer to fetch from; `None` means the object store.
    fn fetch_source(&mut self) -> Option<SocketAddr> {
        let peer_first = self.newest_from.is_some();
        let even = self.fetch_tries.is_multiple_of(2);
        if self.store.state != StoreState::Down && even != peer_first {
            return None;
        }
        if self.fetch_tries < 2 && peer_first {
            return self.newest_from;
        }
        self.random_peer()
    }

    /// Another node of the region, at random.
    pub(super) fn random_peer(&mut self) -> Option<SocketAddr> {
        let own = self.settings.address;
        let slots = self.slots.region(&self.settings.region);
        let others: Vec<_> = slots.map(|it| it.address).filter(|it| *it != own).collect();
        if others.is_empty() {
            return None;
        }
        Some(others[self.rng.random_range(0..others.len())])
    }

    /// A request to a peer was refused or given up.
    pub(super) fn fetch_failed(&mut self, ask: AskId) {
        if self.fetch.is_some_and(|open| open.ask == Some(ask)) {
            self.fetch = None;
        }
    }

    /// Takes in what the object store gave.
    pub(super) fn fetched(&mut self, now: Moment, hash: ContentHash, body: Option<Arc<[u8]>>) {
        match body {
            Some(body) => self.document(now, body),
            None if self.fetch.is_some_and(|open| open.hash == hash) => self.fetch = None,
            None => {}
        }
    }

    /// Takes in a document's bytes and follows it, if it is the newest.
    pub(super) fn document(&mut self, now: Moment, body: Arc<[u8]>) {
        if ContentHash::of(&body) != self.newest.hash {
            return;
        }
        match Document::decode(body) {
            Ok(document) => self.follow(document, now),
            Err(_) => self.counters.malformed += 1,
        }
    }

    /// Follows a catalogue that is newer than the present one.
    pub(super) fn follow(&mut self, document: Document, now: Moment) {
        if document.head().version <= self.version() {
            return;
        }
        self.fetch = None;
        self.counters.adoptions += 1;
        let catalogue = Arc::clone(document.catalogue());
        self.held = document;
        self.act(MembershipAction::InForce(catalogue));
        self.try_joining();
        if let Some((from, hold)) = self.pending_hold.take() {
            self.hold(now, from, hold);
        }
    }
}
