//! The state machine of one node's membership.

mod adopting;
mod applying;
mod probing;
mod reading;
mod responding;

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::SeedableRng;
use tanagerhub_catalogue::{Catalogue, CatalogueVersion, NodeId};
use tanagerhub_clock::Moment;
use tanagerhub_table::TransactionId;

use crate::apply::Apply;
use crate::slot_table::SlotTable;
use crate::store_reader::StoreReader;
use crate::{
    AckRequest, Adoption, AgedFact, CatalogueHead, Confirmations, Document, Freshness, Identity,
    MembershipAction, MembershipCounters, MembershipEvent, MembershipSettings, MembershipStatus,
    Peer, PeerRequest, PeerRequestId, PeerResponse, SharedFacts, StaleReason, Standing, is_recent,
};
use adopting::OpenFetch;
use probing::{OpenProbe, PeerReport};

/// One node's view of its region, of the catalogue and of its own freshness.
///
/// # Examples
///
/// ```
/// use tanagerhub_catalogue::{BootId, DataCentreId};
/// use tanagerhub_clock::Moment;
/// use tanagerhub_membership::{Membership, MembershipAction, MembershipEvent, MembershipSettings};
///
/// let address = "10.0.0.1:7400".parse()?;
/// let settings = MembershipSettings::new(address, BootId(7), "tbilisi", DataCentreId::of("tbs-a"));
/// let mut membership = Membership::new(settings, 1);
/// let actions = membership.on_event(Moment::ZERO, MembershipEvent::Tick);
/// assert!(actions.iter().any(|action| matches!(action, MembershipAction::Read { .. })));
/// assert!(!membership.freshness(Moment::ZERO).is_fresh());
/// # Ok::<(), std::net::AddrParseError>(())
/// ```
#[derive(Debug)]
pub struct Membership {
    settings: MembershipSettings,
    rng: ChaCha8Rng,
    identity: Identity,
    standing: Standing,
    current: Document,
    newest: CatalogueHead,
    newest_source: Option<SocketAddr>,
    slots: SlotTable,
    confirmations: Confirmations,
    adoption: Adoption,
    adoption_target: Option<CatalogueVersion>,
    /// Slots that have confirmed since the last pause that no other process took over this slot.
    verified: BTreeSet<NodeId>,
    probes: BTreeMap<u64, OpenProbe>,
    probe_order: Vec<NodeId>,
    probe_due: Moment,
    remote_due: Moment,
    peer_reports: BTreeMap<NodeId, PeerReport>,
    leaving_reported_at: BTreeMap<NodeId, Moment>,
    leaving: bool,
    pending_ack_request: Option<(SocketAddr, AckRequest)>,
    load: u16,
    facts: SharedFacts,
    store: StoreReader,
    open_registration: Option<(TransactionId, Moment)>,
    slots_requested_at: Option<Moment>,
    open_requests: BTreeMap<PeerRequestId, SocketAddr>,
    next_request_id: u64,
    fetch: Option<OpenFetch>,
    fetch_attempts: u32,
    applies: Vec<Apply>,
    last_event: Option<Moment>,
    stale_since: Moment,
    counters: MembershipCounters,
    actions: Vec<MembershipAction>,
}

impl Membership {
    /// Creates an empty view; `seed` initialises the random choice of peers and the jitter.
    #[must_use]
    pub fn new(settings: MembershipSettings, seed: u64) -> Self {
        let identity = Identity {
            incarnation: 1,
            boot: settings.boot,
        };
        Self {
            settings,
            rng: ChaCha8Rng::seed_from_u64(seed),
            identity,
            standing: Standing::Starting,
            current: Document::of(Catalogue::default()),
            newest: CatalogueHead::default(),
            newest_source: None,
            slots: SlotTable::default(),
            confirmations: Confirmations::default(),
            adoption: Adoption::new(0),
            adoption_target: None,
            verified: BTreeSet::new(),
            probes: BTreeMap::new(),
            probe_order: Vec::new(),
            probe_due: Moment::ZERO,
            remote_due: Moment::ZERO,
            peer_reports: BTreeMap::new(),
            leaving_reported_at: BTreeMap::new(),
            leaving: false,
            pending_ack_request: None,
            load: 0,
            facts: SharedFacts::default(),
            store: StoreReader::new(),
            open_registration: None,
            slots_requested_at: None,
            open_requests: BTreeMap::new(),
            next_request_id: 0,
            fetch: None,
            fetch_attempts: 0,
            applies: Vec::new(),
            last_event: None,
            stale_since: Moment::ZERO,
            counters: MembershipCounters::default(),
            actions: Vec::new(),
        }
    }

    /// Handles an event and returns the actions to perform.
    pub fn on_event(&mut self, now: Moment, event: MembershipEvent) -> Vec<MembershipAction> {
        self.detect_pause(now);
        match event {
            MembershipEvent::Tick => self.tick(now),
            MembershipEvent::Beacon { from, beacon } => self.on_beacon(now, from, beacon),
            MembershipEvent::PeerRequest {
                request_id,
                request,
            } => self.on_peer_request(request_id, &request),
            MembershipEvent::PeerResponse {
                request_id,
                response,
            } => self.on_peer_response(now, request_id, response),
            MembershipEvent::Rows { read, rows } => self.on_rows(now, read, &rows),
            MembershipEvent::ReadFailed { read } => self.on_read_failure(now, read),
            MembershipEvent::Committed {
                transaction,
                outcome,
            } => self.on_commit(now, transaction, &outcome),
            MembershipEvent::Fetched { hash, body } => self.on_fetched(now, hash, body),
            MembershipEvent::Stored { hash, kept } => self.on_stored(now, hash, kept),
            MembershipEvent::Apply {
                operation,
                catalogue,
                expected,
            } => self.start_apply(now, operation, catalogue, expected),
            MembershipEvent::Retire { node } => self.retire(node),
            MembershipEvent::LocalFacts(facts) => self.record_local_facts(now, facts),
            MembershipEvent::Load(load) => self.load = load,
            MembershipEvent::Leaving => self.leaving = true,
        }
        std::mem::take(&mut self.actions)
    }

    /// Returns whether this node may take new work now, and why not otherwise.
    #[must_use]
    pub fn freshness(&self, now: Moment) -> Freshness {
        let stale = |reason, since| Freshness::Stale { since, reason };
        match self.standing {
            Standing::Starting => return stale(StaleReason::Starting, self.stale_since),
            Standing::Paused => return stale(StaleReason::Paused, self.stale_since),
            Standing::Member => {}
        }
        if self.newest.version > self.version() {
            return stale(StaleReason::NewerVersion, self.stale_since);
        }
        let limit = self.settings.freshness_limit;
        match self.last_confirmed() {
            Some((at, by)) if is_recent(at, now, limit) => Freshness::Fresh {
                version: self.version(),
                by,
                age: now.since(at),
            },
            Some((at, _)) => stale(StaleReason::Unconfirmed, at + limit),
            None => stale(StaleReason::Unconfirmed, self.stale_since),
        }
    }

    /// Returns the moment at which the view stops being fresh, unless it is confirmed again.
    ///
    /// `None` means that it is not fresh. The moment must be compared with the current time right
    /// before each send: a process that was paused in between must not send.
    #[must_use]
    pub fn fresh_until(&self, now: Moment) -> Option<Moment> {
        let fresh = self.freshness(now).is_fresh();
        let confirmed = self.last_confirmed().filter(|_| fresh);
        confirmed.map(|(at, _)| at + self.settings.freshness_limit)
    }

    /// Returns the catalogue that this node has adopted.
    #[must_use]
    pub const fn catalogue(&self) -> &Arc<Catalogue> {
        self.current.catalogue()
    }

    /// Returns the catalogue version that this node has adopted.
    #[must_use]
    pub fn version(&self) -> CatalogueVersion {
        self.current.catalogue().version
    }

    /// Returns the identity of this process in its slot.
    #[must_use]
    pub const fn identity(&self) -> Identity {
        self.identity
    }

    /// Returns whether this process counts towards a majority of its region.
    #[must_use]
    pub const fn standing(&self) -> Standing {
        self.standing
    }

    /// Returns the nodes that have not been confirmed to hold this node's version or a newer one.
    ///
    /// Nodes of other regions are among them, since versions are only reported within a region.
    #[must_use]
    pub fn lagging_nodes(&self, now: Moment) -> Vec<NodeId> {
        let peers = self.peers(now);
        let follows = |node: NodeId| {
            let report = peers.iter().find(|peer| peer.node == node);
            node == self.settings.node || report.is_some_and(|peer| peer.version >= self.version())
        };
        let all = self.slots.regions().flat_map(|(_, nodes)| nodes);
        all.copied().filter(|node| !follows(*node)).collect()
    }

    /// Returns the address in a node's slot, whether or not the node is alive.
    #[must_use]
    pub fn address(&self, node: NodeId) -> Option<SocketAddr> {
        self.slots.row(node).map(|row| row.slot.address)
    }

    /// Returns the live nodes of the region without this one, in the order of their ids.
    #[must_use]
    pub fn peers(&self, now: Moment) -> Vec<Peer> {
        let mut peers = self.other_nodes(now);
        peers.retain(|peer| self.is_live(peer.node, now));
        peers
    }

    /// Returns all other nodes of the region, live or not, in the order of their ids.
    #[must_use]
    pub fn other_nodes(&self, now: Moment) -> Vec<Peer> {
        let slots = self.slots.nodes(&self.settings.region).iter();
        let others = slots.filter(|node| **node != self.settings.node);
        let rows = others.filter_map(|node| Some((*node, self.slots.row(*node)?)));
        rows.map(|(node, row)| self.peer(node, &row.slot, now))
            .collect()
    }

    /// Returns whether this node is shutting down.
    #[must_use]
    pub const fn is_leaving(&self) -> bool {
        self.leaving
    }

    /// Returns the recorded shared facts with their ages.
    pub fn facts(&self, now: Moment) -> impl Iterator<Item = AgedFact> + '_ {
        self.facts.aged(now)
    }

    /// Returns the counters since the start of the process.
    #[must_use]
    pub const fn counters(&self) -> MembershipCounters {
        self.counters
    }

    /// Returns the state for the state dump.
    #[must_use]
    pub fn status(&self, now: Moment) -> MembershipStatus {
        MembershipStatus {
            node: self.settings.node,
            identity: self.identity,
            standing: self.standing,
            version: self.version(),
            newest: self.newest.version,
            freshness: self.freshness(now),
            store: self.store.state,
            slots: self.slot_count(),
            all_slots: self.slots.len(),
            peers: self.peers(now),
            facts: self.facts.len(),
            counters: self.counters,
        }
    }

    fn tick(&mut self, now: Moment) {
        self.send_due_reads(now);
        self.send_due_probes(now);
        self.fetch_if_due(now);
        self.advance_applies(now);
        self.facts.expire(now);
    }

    fn on_peer_request(&mut self, request_id: PeerRequestId, request: &PeerRequest) {
        let response = match request {
            PeerRequest::Document(hash) => {
                let holds = self.current.head().hash == *hash;
                PeerResponse::Document(holds.then(|| Arc::clone(self.current.body())))
            }
            PeerRequest::Slots => PeerResponse::Slots(self.slots.export()),
            PeerRequest::Ping(_) => PeerResponse::Pong(self.identity.boot),
            PeerRequest::Fleet => PeerResponse::Refused("not a request for membership".to_owned()),
        };
        self.push_action(MembershipAction::SendResponse {
            request_id,
            response,
        });
    }

    fn on_peer_response(
        &mut self,
        now: Moment,
        request_id: PeerRequestId,
        response: Option<PeerResponse>,
    ) {
        if self.open_requests.remove(&request_id).is_none() {
            return;
        }
        match response {
            Some(PeerResponse::Document(Some(body))) => self.on_document(now, body),
            Some(PeerResponse::Slots(rows)) => {
                self.slots.merge(rows);
                self.slots_changed();
            }
            Some(_) | None => self.fetch_failed(request_id),
        }
    }

    fn record_local_facts(&mut self, now: Moment, facts: Vec<AgedFact>) {
        for fact in facts {
            self.facts.record(fact, now);
        }
    }

    /// Sends a request to a peer.
    fn send_request(&mut self, to: SocketAddr, request: PeerRequest) -> PeerRequestId {
        self.next_request_id += 1;
        let request_id = PeerRequestId(self.next_request_id);
        self.open_requests.insert(request_id, to);
        self.push_action(MembershipAction::SendRequest {
            request_id,
            to,
            request,
        });
        request_id
    }

    fn push_action(&mut self, action: MembershipAction) {
        self.actions.push(action);
    }

    /// Returns the number of node slots of this region, whether or not their nodes are alive.
    #[must_use]
    pub fn slot_count(&self) -> usize {
        self.slots.count(&self.settings.region)
    }

    fn last_confirmed(&self) -> Option<(Moment, crate::Confirmer)> {
        self.confirmations.newest(self.slot_count(), self.version())
    }

    fn new_transaction(&mut self) -> TransactionId {
        TransactionId(self.rng.random())
    }

    /// Returns `duration` with up to a quarter added or subtracted.
    fn jitter(&mut self, duration: Duration) -> Duration {
        duration.mul_f64(self.rng.random_range(0.75..1.25))
    }
}
