//! The node's side of shared capacity.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use tanagerhub_catalogue::{DataCentreId, EntryId, NodeId, VmId};
use tanagerhub_clock::Moment;

use crate::timing::{LOAN, START_WINDOW};

use self::link::Links;
use self::own_shares::OwnShares;
use self::pending::PendingAsk;
use crate::message::{Ask, AskId, EntryLoad, FirstByte, Sample};
use crate::shard::Shard;

mod answer;
mod clock_bound;
mod link;
mod outbox;
mod own_shares;
mod pending;
mod placing;
mod replies;
mod status;

pub use answer::Answer;
pub use own_shares::SharedServer;
pub use status::{BorrowerCounters, BorrowerStatus, LinkStatus};

/// Time without a call after which the node counts as paused: replies may then wait to be received.
const PAUSE: Duration = Duration::from_millis(500);
/// How long the ids of used grants are kept, which must exceed the age of any duplicate datagram.
const USED_LIFETIME: Duration = Duration::from_secs(30);

/// Decides to which coordinators a node lends its shares of start limits and sends its asks.
///
/// The carrier sends the requests that [`take_requests`](Self::take_requests) returns, passes each
/// reply to [`receive`](Self::receive), and calls [`poll`](Self::poll) and `take_requests` at
/// [`next_wakeup`](Self::next_wakeup) and after each other call.
///
/// # Examples
///
/// ```
/// use std::collections::BTreeMap;
/// use tanagerhub_capacity::{Borrower, Shard, SharedServer};
/// use tanagerhub_catalogue::{DataCentreId, EntryId, NodeId, VmId};
/// use tanagerhub_clock::Moment;
///
/// let (now, data_centre) = (Moment::from_millis(1), DataCentreId::of("dc-1"));
/// let shard = Shard::DataCentre(data_centre);
/// let mut borrower = Borrower::new(NodeId(1), 77, data_centre);
/// borrower.set_shards(now, &BTreeMap::from([(shard, vec![NodeId(2)])]));
/// let entry = EntryId::of("advisor");
/// borrower.set_servers(now, &[SharedServer { server: VmId(3), entry, shard, starts: 1 }]);
/// let requests = borrower.take_requests(now, |_| Vec::new());
/// assert_eq!(requests[0].0, NodeId(2));
/// assert!(requests[0].1.lent.is_empty(), "nothing is lent before the first reply");
/// assert!(borrower.may_start(now, VmId(3)));
/// ```
#[derive(Debug)]
pub struct Borrower {
    node: NodeId,
    boot: u64,
    data_centre: DataCentreId,
    number: u64,
    links: Links,
    shares: OwnShares,
    asks: BTreeMap<AskId, PendingAsk>,
    /// Grants that were passed on, by the caller's id of the ask.
    used: HashMap<AskId, UsedGrant>,
    answers: Vec<Answer>,
    called_at: Moment,
    leaving: bool,
    counters: BorrowerCounters,
}

/// A grant that was passed on.
#[derive(Debug, Clone, Copy)]
struct UsedGrant {
    wire: AskId,
    shard: Shard,
    at: Moment,
}

impl Borrower {
    /// Creates the state of a node's process without shards.
    #[must_use]
    pub fn new(node: NodeId, boot: u64, data_centre: DataCentreId) -> Self {
        Self {
            node,
            boot,
            data_centre,
            number: 0,
            links: Links::new(),
            shares: OwnShares::default(),
            asks: BTreeMap::new(),
            used: HashMap::new(),
            answers: Vec::new(),
            called_at: Moment::ZERO,
            leaving: false,
            counters: BorrowerCounters::default(),
        }
    }

    /// Sets the nodes that may coordinate each shard, in the order in which they are tried.
    pub fn set_shards(&mut self, now: Moment, shards: &BTreeMap<Shard, Vec<NodeId>>) {
        self.links.retain(|shard, _| shards.contains_key(shard));
        for (shard, candidates) in shards {
            let link = self.links.entry(*shard).or_default();
            link.set_candidates(candidates);
        }
        self.recall_asks(now);
        self.choose_coordinators(now);
        self.place_asks(now);
    }

    /// Sets the node's own shares of coordinated servers.
    pub fn set_servers(&mut self, now: Moment, servers: &[SharedServer]) {
        self.shares.set(now, servers);
    }

    /// Lets the node's own shares rest until the loans of a former process of the node have ended
    /// and their grants no longer count, because the process has started while requests arrive. The
    /// shares can be lent meanwhile, as a coordinator ends the former loans first.
    pub fn rest_shares(&mut self, now: Moment) {
        self.shares.rest(now + LOAN + START_WINDOW);
    }

    /// Whether the node may use its own share of a server: the server is not coordinated, or the
    /// share is neither lent nor was lent so recently that its last grant may count at the server.
    #[must_use]
    pub fn may_start(&self, now: Moment, server: VmId) -> bool {
        self.shares.may_start(now, server)
    }

    /// Whether a coordinator of any shard with groups of the entry has replied recently enough to
    /// hold loans.
    #[must_use]
    pub fn is_live(&self, now: Moment, entry: EntryId) -> bool {
        self.links_of(entry).any(|(_, link)| link.is_live(now))
    }

    /// Asks for a start. The id must be unique in the process, and below 2⁴⁰.
    pub fn ask(&mut self, now: Moment, ask: Ask) {
        self.counters.asks += 1;
        self.asks.insert(ask.id, PendingAsk::new(now, ask));
        self.place_asks(now);
    }

    /// Withdraws an ask that needs no grant any more. Has no effect if it is decided.
    pub fn cancel(&mut self, now: Moment, id: AskId) {
        if let Some(pending) = self.asks.remove(&id) {
            self.withdraw(now, &pending);
        }
    }

    /// Returns the load of each entry over all shards; `None` while the load of any shard is
    /// unknown or older than a second, since a part of the demand could pass for all of it.
    #[must_use]
    pub fn entry_loads(&self, now: Moment) -> Option<Vec<EntryLoad>> {
        if self.links.is_empty() {
            return None;
        }
        let mut sums: BTreeMap<EntryId, EntryLoad> = BTreeMap::new();
        for link in self.links.values() {
            for &load in link.entry_loads(now)? {
                sums.entry(load.entry)
                    .and_modify(|sum| *sum = sum.plus(load))
                    .or_insert(load);
            }
        }
        Some(sums.into_values().collect())
    }

    /// Returns a grant that can't be used to its coordinator.
    pub fn reject_grant(&mut self, now: Moment, id: AskId) {
        if let Some(grant) = self.used.remove(&id) {
            self.counters.unused += 1;
            self.cancel_at(now, grant.shard, grant.wire);
        }
    }

    /// Records an attempt that has ended at a coordinated group.
    pub fn record_sample(&mut self, now: Moment, shard: Shard, sample: Sample) {
        if let Some(link) = self.links.get_mut(&shard) {
            link.record_sample(now, sample);
        }
    }

    /// Records the first byte of the response to a request, which changes how many prompts the
    /// group is reading. `ask` is the ask that was granted for it, unless it used an own share.
    pub fn record_first_byte(
        &mut self,
        now: Moment,
        shard: Shard,
        ask: Option<AskId>,
        wait: Duration,
        late: bool,
    ) {
        let grant = ask.and_then(|ask| self.used.get(&ask));
        let grant = grant.filter(|grant| grant.shard == shard);
        if let Some(link) = self.links.get_mut(&shard) {
            link.record_first_byte(
                now,
                grant.map(|grant| FirstByte {
                    ask: grant.wire,
                    wait_us: u32::try_from(wait.as_micros()).unwrap_or(u32::MAX),
                    late,
                }),
            );
        }
    }

    /// Takes the loans back, because the node stops: coordinators are told so, and nothing is lent
    /// any more.
    pub fn leave(&mut self) {
        self.leaving = true;
        for link in self.links.values_mut() {
            link.due = true;
        }
    }

    /// Moves asks that are not answered, drops those whose time is over, and returns the decisions
    /// that follow.
    pub fn poll(&mut self, now: Moment) -> Vec<Answer> {
        self.notice_pause(now);
        self.choose_coordinators(now);
        self.drop_expired(now);
        self.move_unanswered(now);
        self.place_asks(now);
        self.used
            .retain(|_, grant| now.since(grant.at) < USED_LIFETIME);
        std::mem::take(&mut self.answers)
    }

    /// Returns the moment by which [`poll`](Self::poll) and
    /// [`take_requests`](Self::take_requests) must be called, if no other call is made before.
    #[must_use]
    pub fn next_wakeup(&self) -> Option<Moment> {
        if !self.answers.is_empty() {
            return Some(Moment::ZERO);
        }
        let links = self
            .links
            .values()
            .flat_map(|link| [link.next_request(), link.next_choice()]);
        let asks = self.asks.values().map(|ask| {
            let shard = ask.shard.and_then(|shard| self.links.get(&shard));
            match shard.and_then(link::Link::coordinator) {
                Some(_) => ask.next_wakeup(),
                None => ask.until,
            }
        });
        links.flatten().chain(asks).min()
    }

    /// A process that paused could not receive replies, so it doesn't count requests as unanswered.
    fn notice_pause(&mut self, now: Moment) {
        if now.since(self.called_at) >= PAUSE {
            for link in self.links.values_mut() {
                link.resume();
            }
        }
        self.called_at = now;
    }

    fn choose_coordinators(&mut self, now: Moment) {
        let mut changed = Vec::new();
        for (shard, link) in &mut self.links {
            let before = link.coordinator();
            if link.choose(now) {
                changed.push(*shard);
                self.counters.replaced += u64::from(before.is_some());
                log_choice(*shard, before, link.coordinator());
            }
        }
        for shard in changed {
            self.renew_asks(shard);
        }
    }

    /// Asks the new coordinator of a shard for everything that the former one was asked for.
    fn renew_asks(&mut self, shard: Shard) {
        for ask in self.asks.values_mut() {
            if ask.shard == Some(shard) && ask.is_sent() {
                ask.renew(Some(shard));
            }
        }
    }

    /// Withdraws the asks at shards that have no groups of their entry any more.
    fn recall_asks(&mut self, now: Moment) {
        let is_elsewhere = |ask: &PendingAsk| {
            let has_groups = |shard| self.links_of(ask.ask.entry).any(|(it, _)| it == shard);
            ask.shard.is_some_and(|shard| !has_groups(shard))
        };
        for id in self.ids(is_elsewhere) {
            self.withdraw_id(now, id);
            if let Some(ask) = self.asks.get_mut(&id) {
                ask.renew(None);
            }
        }
    }

    fn withdraw_id(&mut self, now: Moment, id: AskId) {
        if let Some(ask) = self.asks.get(&id) {
            let (wire, shard) = (ask.wire_id(self.boot), ask.shard);
            if let Some(shard) = shard.filter(|_| ask.is_sent()) {
                self.cancel_at(now, shard, wire);
            }
        }
    }

    fn withdraw(&mut self, now: Moment, ask: &PendingAsk) {
        if let Some(shard) = ask.shard.filter(|_| ask.is_sent()) {
            self.cancel_at(now, shard, ask.wire_id(self.boot));
        }
    }

    fn cancel_at(&mut self, now: Moment, shard: Shard, wire: AskId) {
        if let Some(link) = self.links.get_mut(&shard) {
            link.cancel(now, wire);
        }
    }
}

fn log_choice(shard: Shard, before: Option<NodeId>, after: Option<NodeId>) {
    let name = |node: Option<NodeId>| node.map_or_else(|| "none".to_owned(), |it| it.to_string());
    log::info!(
        shard:%, before = name(before).as_str(), after = name(after).as_str();
        "another coordinator is used"
    );
}

#[cfg(test)]
mod tests;
