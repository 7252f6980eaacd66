//! Grants the starts at the backend servers of a shard to all nodes.

mod admission;
mod asks;
mod entry;
mod event;
mod group;
mod objective;
mod placement;
mod replies;
mod reports;
mod round;
mod status;

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::time::Duration;

use tanagerhub_catalogue::{EntryId, NodeId, VmId};
use tanagerhub_clock::Moment;

use self::entry::EntryState;
pub use self::event::CoordinatorEvent;
pub use self::status::{CoordinatorStatus, EntryStatus, GroupStatus};
use crate::coordinated_group::CoordinatedGroup;
use crate::deadlines::Deadlines;
use crate::granted_prompts::GrantedPrompts;
use crate::load::{GroupKey, Loads};
use crate::loans::Loans;
use crate::message::{AskId, Request};
use crate::peer::Peer;
use crate::refused_requests::RefusedRequests;
use crate::shard::Shard;
use crate::start_window::StartWindow;
use crate::timing::{RELEASE_DELAY, RELEASE_INTERVAL, REPLY_INTERVAL};
use crate::wait_queue::WaitKey;

/// The maximum number of events that are kept until they are taken.
const MAX_EVENTS: usize = 1_024;
/// A node is forgotten if it has sent nothing for this time, when the groups are next set.
const PEER_AGE: Duration = Duration::from_mins(1);
/// When callers may come back if no group serves the entry; groups form within seconds.
const NO_GROUP_RETRY: Duration = Duration::from_secs(1);
/// The range of times after which callers may come back, before they are spread.
const MIN_RETRY: Duration = Duration::from_millis(300);
const MAX_RETRY: Duration = Duration::from_secs(10);

/// The coordinator of a shard: a state machine without I/O.
///
/// After each call of [`receive`](Self::receive), and when [`next_wakeup`](Self::next_wakeup) has
/// come, the caller sends what [`take_replies`](Self::take_replies) returns, without delay: the
/// replies carry the time of that call.
///
/// # Examples
///
/// ```
/// use tanagerhub_capacity::{Coordinator, Shard};
/// use tanagerhub_catalogue::{DataCentreId, NodeId};
/// use tanagerhub_clock::Moment;
///
/// let shard = Shard::DataCentre(DataCentreId::of("dc-1"));
/// let mut coordinator = Coordinator::new(shard, NodeId(1), 7, 42);
/// assert!(coordinator.take_replies(Moment::ZERO).is_empty());
/// assert!(!coordinator.has_lenders(Moment::ZERO));
/// ```
#[derive(Debug)]
pub struct Coordinator {
    shard: Shard,
    node: NodeId,
    boot: u64,
    seed: u64,
    entries: BTreeMap<EntryId, EntryState>,
    entry_of: HashMap<GroupKey, EntryId>,
    loans: Loans,
    windows: HashMap<VmId, StartWindow>,
    loads: Loads,
    prompts: GrantedPrompts,
    peers: HashMap<NodeId, Peer>,
    reply_due: Deadlines<NodeId>,
    waiting: HashMap<(NodeId, AskId), (EntryId, WaitKey)>,
    /// Granted asks that were asked again.
    repeats: Vec<(NodeId, AskId)>,
    refused: RefusedRequests,
    /// The number of asks received, which orders asks with the same deadline.
    order: u64,
    next: Option<NodeId>,
    not_first_since: Option<Moment>,
    is_stopping: bool,
    release_at: Moment,
    /// Whether anything has changed since the last decisions.
    is_changed: bool,
    now: Moment,
    events: VecDeque<CoordinatorEvent>,
}

impl Coordinator {
    /// Creates the coordinator of `shard` on `node`, for one process with the id `boot`.
    #[must_use]
    pub fn new(shard: Shard, node: NodeId, boot: u64, seed: u64) -> Self {
        Self {
            shard,
            node,
            boot,
            seed,
            entries: BTreeMap::new(),
            entry_of: HashMap::new(),
            loans: Loans::default(),
            windows: HashMap::new(),
            loads: Loads::default(),
            prompts: GrantedPrompts::default(),
            peers: HashMap::new(),
            reply_due: Deadlines::default(),
            waiting: HashMap::new(),
            repeats: Vec::new(),
            refused: RefusedRequests::default(),
            order: 0,
            next: None,
            not_first_since: None,
            is_stopping: false,
            release_at: Moment::ZERO,
            is_changed: false,
            now: Moment::ZERO,
            events: VecDeque::new(),
        }
    }

    /// Replaces the groups of the shard.
    pub fn set_groups(&mut self, now: Moment, groups: &[CoordinatedGroup]) {
        self.advance(now);
        let mut by_entry: BTreeMap<EntryId, Vec<CoordinatedGroup>> = BTreeMap::new();
        for group in groups {
            by_entry.entry(group.entry).or_default().push(*group);
        }
        for (id, entry) in &mut self.entries {
            entry.set_groups(by_entry.remove(id).as_deref().unwrap_or_default());
        }
        for (id, groups) in by_entry {
            self.entries.entry(id).or_default().set_groups(&groups);
        }
        self.entries
            .retain(|_, entry| !entry.groups.is_empty() || !entry.queue.is_empty());
        self.entry_of = groups
            .iter()
            .map(|group| ((group.group, group.epoch), group.entry))
            .collect();
        self.windows.retain(|_, window| {
            window.left(now, 0);
            !window.is_empty()
        });
        self.peers
            .retain(|_, peer| now.since(peer.received_at) < PEER_AGE);
        self.is_changed = true;
    }

    /// Sets the node that is first in the shard's order; `None` if it is this one.
    pub fn set_next(&mut self, now: Moment, next: Option<NodeId>) {
        self.next = next;
        self.not_first_since = match (next, self.not_first_since) {
            (None, _) => None,
            (Some(_), None) => Some(now),
            (Some(_), since) => since,
        };
    }

    /// Begins to release all lenders, because the process is about to stop.
    pub fn stop(&mut self, now: Moment) {
        self.advance(now);
        self.is_stopping = true;
    }

    /// Receives a message from a node.
    ///
    /// A message that is older than the last one received counts only for its asks and
    /// cancellations.
    pub fn receive(&mut self, now: Moment, request: &Request) {
        if request.shard != self.shard || !self.admit_process(now, request) {
            return;
        }
        self.advance(now);
        self.is_changed = true;
        let Some(peer) = self.peers.get_mut(&request.node) else {
            return;
        };
        let is_newer = peer.record_number(request.number);
        if is_newer {
            peer.received_at = now;
        }
        for &ask in &request.cancelled {
            self.cancel(request.node, ask);
        }
        if is_newer {
            self.apply_report(now, request);
        }
        for ask in &request.asks {
            self.receive_ask(now, request.node, ask, is_newer);
        }
        let has_asks = !request.asks.is_empty();
        self.plan_reply(now, request.node, has_asks);
    }

    /// Plans a reply to a node, at once or after the interval between replies.
    fn plan_reply(&mut self, now: Moment, node: NodeId, at_once: bool) {
        let Some(peer) = self.peers.get(&node) else {
            return;
        };
        let due = match peer.last_sent {
            Some(sent) if !at_once => now.max(sent + REPLY_INTERVAL),
            _ => now,
        };
        if self.reply_due.get(node).is_none_or(|at| due < at) {
            self.reply_due.set(node, due);
        }
    }

    /// Releases the lender that has lent for the longest time, if one is due.
    fn release_due(&mut self, now: Moment) {
        let Some((_, node)) = self.next_release().filter(|&(at, _)| at <= now) else {
            return;
        };
        self.release_at = now + RELEASE_INTERVAL;
        let handed_over = self.hand_over(now, node);
        self.loans.end(node);
        if let Some(peer) = self.peers.get_mut(&node) {
            peer.handed_over = handed_over;
            peer.released_at = Some(now);
            peer.repeats_release = true;
            self.reply_due.set(node, now);
        }
        let next = self.next;
        self.emit(CoordinatorEvent::Released { node, next });
    }

    /// Assigns to the shares of a node the grants that the other shares can't have been used for.
    /// Returns the node's shares and when the next coordinator may grant on them.
    fn hand_over(&mut self, now: Moment, node: NodeId) -> Vec<(VmId, Moment)> {
        let mut shares = Vec::new();
        for share in self.loans.shares_of(node) {
            let others = self.loans.available(share.server) - share.available;
            let window = self.windows.get_mut(&share.server);
            let used = window.and_then(|it| it.hand_over(now, others, share.available));
            let free_at = used.into_iter().chain(share.available_at).max();
            shares.push((share.server, free_at.unwrap_or(now)));
        }
        shares
    }

    /// Returns the next lender to release, and when.
    ///
    /// A node may lend here again because it can't reach the next coordinator. It then also stays
    /// for [`RELEASE_DELAY`].
    fn next_release(&self) -> Option<(Moment, NodeId)> {
        let first_lost = match self.not_first_since {
            _ if self.is_stopping => None,
            Some(at) => Some(at),
            None => return None,
        };
        let (since, node) = self.loans.oldest_lender()?;
        let at = first_lost.map_or(self.release_at, |at| at.max(since) + RELEASE_DELAY);
        Some((at.max(self.release_at), node))
    }

    fn advance(&mut self, now: Moment) {
        self.now = now;
        self.loans.advance(now);
        self.loads.advance(now);
    }

    /// Returns when [`take_replies`](Self::take_replies) has something to do.
    #[must_use]
    pub fn next_wakeup(&self) -> Option<Moment> {
        if self.is_changed && !self.waiting.is_empty() {
            return Some(self.now);
        }
        let release = self.next_release().map(|(at, _)| at);
        [self.reply_due.first(), release, self.next_decision()]
            .into_iter()
            .flatten()
            .min()
    }

    /// Returns when waiting asks may be decided next.
    fn next_decision(&self) -> Option<Moment> {
        if self.waiting.is_empty() {
            return None;
        }
        let shared = [
            self.loans.next_activation(),
            self.loans.next_expiry(),
            self.loads.next_expiry(),
        ];
        let entries = self
            .entries
            .values()
            .filter(|entry| !entry.queue.is_empty());
        let own = entries.flat_map(|entry| {
            let rooms = entry.groups.iter().flat_map(|state| {
                let window = self.windows.get(&state.group.server);
                let limit = self.start_limit(&state.group);
                let start = window.and_then(|window| window.next_free(limit));
                [start, state.failures.next_trial(self.now)]
            });
            rooms.chain([entry.queue.next_deadline(), entry.overdue_at()])
        });
        own.chain(shared)
            .flatten()
            .filter(|&at| at > self.now)
            .min()
    }

    /// Returns the starts of a group's server that are lent and available, up to its limit.
    fn start_limit(&self, group: &CoordinatedGroup) -> u32 {
        self.loans.available(group.server).min(group.start_limit)
    }

    /// Returns whether nodes lend to this coordinator.
    #[must_use]
    pub fn has_lenders(&self, now: Moment) -> bool {
        self.loans.has_unexpired(now)
    }

    /// Returns the events since the last call; the oldest ones are dropped beyond 1,024.
    pub fn take_events(&mut self) -> Vec<CoordinatorEvent> {
        self.events.drain(..).collect()
    }

    fn emit(&mut self, event: CoordinatorEvent) {
        if self.events.len() >= MAX_EVENTS {
            self.events.pop_front();
        }
        self.events.push_back(event);
    }
}
