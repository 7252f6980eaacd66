//! The standing of this process, and the adoption of newer catalogues.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use rand::RngExt;
use tanagerhub_catalogue::NodeId;
use tanagerhub_clock::Moment;

use super::Membership;
use crate::{
    Adoption, CatalogueHead, ContentHash, Document, Identity, MembershipAction, PeerRequest,
    PeerRequestId, Standing, StoreState, majority,
};

/// Time after which a fetch without a response is tried from another source.
const FETCH_TIMEOUT: Duration = Duration::from_secs(1);

/// A fetch of a document that is in progress.
#[derive(Debug, Clone, Copy)]
pub(super) struct OpenFetch {
    hash: ContentHash,
    sent: Moment,
    request_id: Option<PeerRequestId>,
}

impl Membership {
    /// Detects a pause of the process, after which it no longer counts towards a majority: another
    /// process may have taken over the slot in the meantime.
    pub(super) fn detect_pause(&mut self, now: Moment) {
        let last = self.last_event.replace(now);
        let since_last_event = last.map_or(Duration::ZERO, |last| now.since(last));
        if since_last_event < self.settings.pause_limit {
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

    /// Restarts adoption because another process took over the slot, or may have done so.
    pub(super) fn rejoin(&mut self, other: Identity, now: Moment) {
        if self.standing == Standing::Member || self.standing == Standing::Paused {
            self.counters.takeovers += 1;
            self.stale_since = now;
        }
        self.standing = Standing::Starting;
        self.identity = other.successor(self.settings.boot);
        self.slots
            .record_identity(self.settings.node, self.identity);
        self.restart_adoption();
        self.probe_due = now;
        self.store.head_due = now;
    }

    /// Discards the responses collected so far.
    pub(super) fn restart_adoption(&mut self) {
        self.adoption = Adoption::new(self.slot_count());
        self.adoption_target = None;
    }

    /// Records another slot's response while this process does not count towards a majority.
    pub(super) fn update_adoption(&mut self, node: NodeId, head: CatalogueHead, known: Identity) {
        if known != self.identity {
            return;
        }
        match self.standing {
            Standing::Member => {}
            Standing::Starting => {
                self.adoption.record(node, head.version);
                if self.adoption.highest().is_some() {
                    self.adoption_target = self.adoption.highest();
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

    /// Makes this process a member if it holds the version to adopt.
    pub(super) fn try_joining(&mut self) {
        let ready = self
            .adoption_target
            .is_some_and(|wanted| self.version() >= wanted);
        if self.standing == Standing::Starting && ready && self.slot_count() > 0 {
            self.standing = Standing::Member;
            self.adoption_target = None;
        }
    }

    /// Records the newest known version and fetches its document.
    pub(super) fn update_newest(
        &mut self,
        head: CatalogueHead,
        from: Option<SocketAddr>,
        now: Moment,
    ) {
        if head.version <= self.newest.version {
            return;
        }
        if self.newest.version <= self.version() {
            self.stale_since = now;
        }
        self.newest = head;
        self.newest_source = from;
        self.fetch = None;
        self.fetch_attempts = 0;
        self.fetch_if_due(now);
    }

    /// Fetches the newest document unless it is held or being fetched.
    pub(super) fn fetch_if_due(&mut self, now: Moment) {
        if self.newest.version <= self.version() {
            return;
        }
        let waits = |open: &OpenFetch| now.since(open.sent) < FETCH_TIMEOUT;
        if self.fetch.as_ref().is_some_and(waits) {
            return;
        }
        let hash = self.newest.hash;
        let request_id = self
            .fetch_source()
            .map(|to| self.send_request(to, PeerRequest::Document(hash)));
        if request_id.is_none() {
            self.push_action(MembershipAction::Fetch(hash));
        }
        self.counters.fetches += 1;
        self.fetch_attempts += 1;
        self.fetch = Some(OpenFetch {
            hash,
            sent: now,
            request_id,
        });
    }

    /// Returns the peer to fetch from; `None` means the object store.
    fn fetch_source(&mut self) -> Option<SocketAddr> {
        let peer_first = self.newest_source.is_some();
        let even = self.fetch_attempts.is_multiple_of(2);
        if self.store.state != StoreState::Down && even != peer_first {
            return None;
        }
        if self.fetch_attempts < 2 && peer_first {
            return self.newest_source;
        }
        self.random_peer()
    }

    /// Returns the address of a random other node of the region.
    pub(super) fn random_peer(&mut self) -> Option<SocketAddr> {
        let own = self.settings.address;
        let slots = self.slots.region(&self.settings.region);
        let others: Vec<_> = slots.map(|it| it.address).filter(|it| *it != own).collect();
        if others.is_empty() {
            return None;
        }
        Some(others[self.rng.random_range(0..others.len())])
    }

    /// Handles a request to a peer that was refused or abandoned.
    pub(super) fn fetch_failed(&mut self, request_id: PeerRequestId) {
        if self
            .fetch
            .is_some_and(|open| open.request_id == Some(request_id))
        {
            self.fetch = None;
        }
    }

    /// Handles the object store's response to a fetch.
    pub(super) fn on_fetched(&mut self, now: Moment, hash: ContentHash, body: Option<Arc<[u8]>>) {
        match body {
            Some(body) => self.on_document(now, body),
            None if self.fetch.is_some_and(|open| open.hash == hash) => self.fetch = None,
            None => {}
        }
    }

    /// Decodes a document's bytes and adopts it if it is the newest.
    pub(super) fn on_document(&mut self, now: Moment, body: Arc<[u8]>) {
        if ContentHash::of(&body) != self.newest.hash {
            return;
        }
        match Document::decode(body) {
            Ok(document) => self.adopt(document, now),
            Err(_) => self.counters.malformed += 1,
        }
    }

    /// Adopts a catalogue that is newer than the current one.
    pub(super) fn adopt(&mut self, document: Document, now: Moment) {
        if document.head().version <= self.version() {
            return;
        }
        self.fetch = None;
        self.counters.adoptions += 1;
        let catalogue = Arc::clone(document.catalogue());
        self.current = document;
        self.push_action(MembershipAction::CatalogueAdopted(catalogue));
        self.try_joining();
        if let Some((from, ack_request)) = self.pending_ack_request.take() {
            self.on_ack_request(now, from, ack_request);
        }
    }
}
