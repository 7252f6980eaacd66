//! Starts that coordinators grant.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use tanagerhub_capacity::{
    Answer, Ask, AskId, Borrower, BorrowerStatus, EntryLoad, RefusalReason, Reply, Request, Shard,
};
use tanagerhub_catalogue::{Class, EntryId, NodeId};
use tanagerhub_clock::Moment;

use super::Traffic;
use super::admission::refusal;
use crate::groups::{Choice, GroupKey};
use crate::in_flight::{Request as InFlightRequest, RequestKey};
use crate::shared_ask::HeldGrant;
use crate::{Decision, Dispatch, Reason};

/// Time before a request's queue deadline by which its ask must be decided, for the way of the
/// reply.
const WAIT_RESERVE: Duration = Duration::from_millis(20);
/// Number of grants of a request that may be unusable before it asks no more: this node's view of
/// the groups then differs too much from the coordinator's.
const MAX_REJECTED: u32 = 3;
/// The lowest urgency.
const LEAST_URGENT: u8 = 9;

/// The node's part in shared capacity.
#[derive(Debug)]
pub(crate) struct SharedCapacity {
    pub(crate) borrower: Borrower,
    next_id: u64,
    asks: HashMap<AskId, RequestKey>,
    /// Requests that hold a grant, and until when.
    pub(super) held: Vec<(RequestKey, Moment)>,
    /// The time of the newest call.
    pub(super) now: Moment,
}

impl SharedCapacity {
    pub(super) fn next_wakeup(&self) -> Option<Moment> {
        let held = self.held.iter().map(|(_, until)| *until);
        held.chain(self.borrower.next_wakeup()).min()
    }
}

impl Traffic {
    /// Lets the node take part in shared capacity. Without this call, `Route::shared` has no
    /// effect.
    ///
    /// `boot` identifies the process. The caller then also calls
    /// [`take_capacity_requests`](Self::take_capacity_requests) at
    /// [`next_wakeup`](Self::next_wakeup) and after each other call, and sends what it returns.
    pub fn set_capacity(&mut self, now: Moment, boot: u64) {
        let (node, data_centre) = (self.settings.node, self.settings.data_centre);
        self.capacity = Some(SharedCapacity {
            borrower: Borrower::new(node, boot, data_centre),
            next_id: 0,
            asks: HashMap::new(),
            held: Vec::new(),
            now,
        });
        self.update_shared_servers(now);
    }

    /// Lets the node's own shares rest while loans of its former process may last, because the
    /// process has started while requests arrive.
    pub fn rest_shares(&mut self, now: Moment) {
        if let Some(capacity) = &mut self.capacity {
            capacity.borrower.rest_shares(now);
        }
    }

    /// Sets the nodes that may coordinate each shard, in rendezvous order, without nodes that stop.
    pub fn set_shards(&mut self, now: Moment, shards: &BTreeMap<Shard, Vec<NodeId>>) {
        if let Some(capacity) = &mut self.capacity {
            capacity.borrower.set_shards(now, shards);
        }
    }

    /// Takes the node's loans back, because the node stops.
    pub fn leave_capacity(&mut self) {
        if let Some(capacity) = &mut self.capacity {
            capacity.borrower.leave();
        }
    }

    /// Returns the requests to coordinators that are due.
    pub fn take_capacity_requests(&mut self, now: Moment) -> Vec<(NodeId, Request)> {
        self.record_time(now);
        let wakeup = self
            .capacity
            .as_ref()
            .and_then(|it| it.borrower.next_wakeup());
        if wakeup.is_none_or(|at| at > now) {
            return Vec::new();
        }
        let running = self.running_by_shard();
        let Some(capacity) = &mut self.capacity else {
            return Vec::new();
        };
        let running = |shard| running.get(&shard).cloned().unwrap_or_default();
        capacity.borrower.take_requests(now, running)
    }

    /// Applies a coordinator's reply. The next [`poll`](Self::poll) returns the decisions that
    /// follow from it.
    pub fn apply_capacity_reply(&mut self, now: Moment, reply: &Reply) {
        self.record_time(now);
        let Some(capacity) = &mut self.capacity else {
            return;
        };
        let answers = capacity.borrower.receive(now, reply);
        self.apply_answers(now, answers);
    }

    /// Returns the state of the loans and asks, if the node takes part in shared capacity.
    #[must_use]
    pub fn capacity_status(&self, now: Moment) -> Option<BorrowerStatus> {
        let capacity = self.capacity.as_ref()?;
        Some(capacity.borrower.status(now))
    }

    /// Returns the load of each coordinated entry over all shards, if it is known.
    #[must_use]
    pub fn entry_loads(&self, now: Moment) -> Option<Vec<EntryLoad>> {
        self.capacity.as_ref()?.borrower.entry_loads(now)
    }

    pub(super) fn record_time(&mut self, now: Moment) {
        if let Some(capacity) = &mut self.capacity {
            capacity.now = now;
        }
    }

    pub(super) fn update_shared_servers(&mut self, now: Moment) {
        if let Some(capacity) = &mut self.capacity {
            let servers = self.groups.shared_servers();
            capacity.borrower.set_servers(now, &servers);
        }
    }

    pub(super) fn poll_capacity(&mut self, now: Moment) {
        self.record_time(now);
        let Some(capacity) = &mut self.capacity else {
            return;
        };
        let answers = capacity.borrower.poll(now);
        self.apply_answers(now, answers);
        self.drop_old_grants(now);
    }

    /// Whether coordinators grant starts for the entry.
    pub(super) fn is_coordinated(&self, entry: EntryId) -> bool {
        self.capacity.is_some() && self.groups.is_coordinated(entry)
    }

    /// Whether a coordinator that answers decides which requests of the entry are refused.
    pub(super) fn coordinator_decides(&self, now: Moment, entry: EntryId) -> bool {
        let live = self
            .capacity
            .as_ref()
            .is_some_and(|it| it.borrower.is_live(now, entry));
        live && self.groups.is_coordinated(entry)
    }

    /// Asks for a start for a request that waits until a moment.
    pub(super) fn ask_waiting(&mut self, now: Moment, key: RequestKey, until: Moment) {
        let wait = until.since(now);
        self.ask(now, key, wait.saturating_sub(WAIT_RESERVE));
    }

    /// Asks for a start, unless an ask of the request is not decided yet.
    pub(super) fn ask(&mut self, now: Moment, key: RequestKey, wait: Duration) {
        let Some(request) = self.requests.get_mut(key) else {
            return;
        };
        let Some(capacity) = &mut self.capacity else {
            return;
        };
        let coordinated = self.groups.is_coordinated(request.info.entry);
        let wait_ms = u32::try_from(wait.as_millis()).unwrap_or(u32::MAX);
        if !coordinated || wait_ms == 0 || request.shared.id.is_some() {
            return;
        }
        let mut excluded = request.shared.excluded.to_vec();
        for group in self.groups.blocked(now, request.info.entry) {
            if !excluded.contains(&group) {
                excluded.push(group);
            }
        }
        capacity.next_id += 1;
        let id = AskId(capacity.next_id);
        let urgency = default_urgency(request.queue_key.class);
        capacity.borrower.ask(
            now,
            Ask {
                id,
                entry: request.info.entry,
                urgency: request.info.urgency.unwrap_or(urgency).min(LEAST_URGENT),
                fingerprint: request.info.fingerprint,
                prompt_tokens: request.info.prompt_tokens,
                max_tokens: request.info.max_tokens,
                wait_ms,
                objective_ms: objective_ms(now, request),
                data_centre: self.settings.data_centre,
                excluded,
            },
        );
        capacity.asks.insert(id, key);
        request.shared.id = Some(id);
    }

    /// Withdraws a request's ask and returns the grant that it holds.
    pub(super) fn withdraw_ask(&mut self, now: Moment, key: RequestKey) {
        let (Some(request), Some(capacity)) = (self.requests.get_mut(key), &mut self.capacity)
        else {
            return;
        };
        request.shared.hedge = false;
        if let Some(id) = request.shared.id.take() {
            capacity.asks.remove(&id);
            capacity.borrower.cancel(now, id);
        }
        if let Some(grant) = request.shared.grant.take() {
            capacity.held.retain(|(other, _)| *other != key);
            capacity.borrower.reject_grant(now, grant.ask);
        }
    }

    /// Withdraws the ask of a request that ends.
    pub(super) fn forget_ask(&mut self, key: RequestKey) {
        if let Some(now) = self.capacity.as_ref().map(|capacity| capacity.now) {
            self.withdraw_ask(now, key);
        }
    }

    /// Excludes the groups at which attempts of a request failed from its next ask.
    pub(super) fn exclude_tried(&mut self, key: RequestKey) {
        let Some(request) = self.requests.get_mut(key) else {
            return;
        };
        let groups = &self.groups.arena;
        let tried = request.tried.iter().filter_map(|key| groups.get(*key));
        request.shared.excluded = tried.map(|group| group.route.group).collect();
    }

    fn apply_answers(&mut self, now: Moment, answers: Vec<Answer>) {
        for answer in answers {
            let (Answer::Granted { ask, .. }
            | Answer::Refused { ask, .. }
            | Answer::Expired { ask }) = answer;
            let Some(key) = self.take_asking(ask) else {
                self.reject(now, ask);
                continue;
            };
            match answer {
                Answer::Granted {
                    ask,
                    group,
                    epoch,
                    until,
                } => {
                    let grant = HeldGrant {
                        ask,
                        group,
                        epoch,
                        until,
                    };
                    self.apply_grant(now, key, grant);
                }
                Answer::Refused {
                    reason,
                    retry_after,
                    ..
                } => self.apply_refusal(now, key, reason, retry_after),
                // A waiting request is refused by its own timer, at its queue deadline.
                Answer::Expired { .. } => {}
            }
        }
    }

    /// Returns the request that has an ask, which is decided now.
    fn take_asking(&mut self, ask: AskId) -> Option<RequestKey> {
        let key = self.capacity.as_mut()?.asks.remove(&ask)?;
        self.requests.get_mut(key)?.shared.id = None;
        Some(key)
    }

    fn reject(&mut self, now: Moment, ask: AskId) {
        if let Some(capacity) = &mut self.capacity {
            capacity.borrower.reject_grant(now, ask);
        }
    }

    /// Dispatches a waiting request to the granted group; keeps the grant of any other request for
    /// its next attempt.
    fn apply_grant(&mut self, now: Moment, key: RequestKey, grant: HeldGrant) {
        let request = &self.requests[key];
        if request.queue_number.is_none() {
            return self.hold_grant(now, key, grant);
        }
        if let Some(refusal) = self.waiting_crash_refusal(now, key) {
            self.reject(now, grant.ask);
            self.dequeue(key);
            return self.refuse_waiting(key, refusal);
        }
        let Some(group) = self.usable_group(now, key, grant) else {
            return self.ask_elsewhere(now, key, grant);
        };
        self.dequeue(key);
        let id = self.requests[key].info.id;
        if let Some(dispatch) = self.start_granted(now, key, group, grant, false) {
            self.ready.push((id, Decision::Dispatch(dispatch)));
        }
    }

    /// Returns a grant that this node can't use, and asks for another group.
    fn ask_elsewhere(&mut self, now: Moment, key: RequestKey, grant: HeldGrant) {
        self.reject(now, grant.ask);
        let Some(request) = self.requests.get_mut(key) else {
            return;
        };
        request.shared.rejected += 1;
        // A group that is excluded because of a pause must be usable once it has ended.
        let entry = request.info.entry;
        if !self.groups.blocked(now, entry).any(|it| it == grant.group) {
            request.shared.excluded.push(grant.group);
        }
        if request.shared.rejected > MAX_REJECTED {
            return;
        }
        let Some(entry) = self.entries.get(&request.info.entry) else {
            return;
        };
        let tokens = request.info.max_tokens.saturating_sub(request.tokens_sent);
        let latest = entry.latest_start(now, request.info.deadline, tokens);
        let until = match (request.info.queue_timeout, request.attempts_sent) {
            (Some(timeout), 0) => latest.min(request.arrived + timeout),
            _ => request.info.queue_deadline(now, latest),
        };
        self.ask_waiting(now, key, until);
    }

    /// Returns the group of a grant if the request may be sent there now.
    pub(super) fn usable_group(
        &self,
        now: Moment,
        key: RequestKey,
        grant: HeldGrant,
    ) -> Option<GroupKey> {
        let group_key = self.groups.key(grant.group)?;
        let group = self.groups.arena.get(group_key)?;
        let request = self.requests.get(key)?;
        let server = group.route.server;
        let allowed = self.takes_work
            && grant.until > now
            && group.route.entry == request.info.entry
            && group.takes_grant(now, grant.epoch)
            && !request.tried.contains(&group_key)
            && !self.runs_at(request, group_key)
            && self.groups.server_limits.may_start(now, server)
            && !self.groups.self_reports.blocks(now, &group.route)
            && (group.suspects == 0 || !self.is_suspect(now, key));
        allowed.then_some(group_key)
    }

    fn runs_at(&self, request: &InFlightRequest, group: GroupKey) -> bool {
        let mut attempts = request.attempts.iter();
        attempts.any(|key| self.attempts.get(*key).is_some_and(|it| it.group == group))
    }

    /// Starts an attempt at a granted group.
    pub(super) fn start_granted(
        &mut self,
        now: Moment,
        key: RequestKey,
        group: GroupKey,
        grant: HeldGrant,
        hedge: bool,
    ) -> Option<Dispatch> {
        let choice = Choice {
            group,
            cached_blocks: 0,
        };
        let suspect = self.is_suspect(now, key);
        let dispatch = Dispatch {
            send_until: Some(grant.until),
            ..self.start(now, key, choice, suspect, hedge)?
        };
        if let Some(attempt) = self.attempts.get_mut(dispatch.attempt) {
            attempt.grant = Some(grant.ask);
        }
        self.count_dispatch(key, choice);
        self.schedule_hedge(now, key, dispatch.attempt);
        Some(dispatch)
    }

    /// Refuses a waiting request. An attempt beside another one is asked for later.
    fn apply_refusal(
        &mut self,
        now: Moment,
        key: RequestKey,
        reason: RefusalReason,
        retry_after: Duration,
    ) {
        let request = &mut self.requests[key];
        if request.queue_number.is_none() {
            request.shared.hedge = false;
            request.shared.not_before = now + retry_after;
            return;
        }
        // All groups are excluded because of pauses that end in time: the end asks again.
        if reason == RefusalReason::NoGroup
            && let Some(end) = self.groups.all_paused_until(now, request.info.entry)
            && request.waits_until.is_some_and(|until| end <= until)
        {
            return;
        }
        let request = &self.requests[key];
        if let Some(refusal) = self.pause_refusal(now, request.info.entry, now) {
            self.dequeue(key);
            return self.refuse_waiting(key, refusal);
        }
        let reason = match reason {
            RefusalReason::NoGroup => Reason::NoGroup,
            RefusalReason::Overloaded
            | RefusalReason::Displaced
            | RefusalReason::TimedOut
            | RefusalReason::TooLarge
            | RefusalReason::NotReady => Reason::Overloaded,
        };
        self.dequeue(key);
        self.refuse_waiting(key, refusal(reason, Some(retry_after)));
    }
}

/// Returns the time left until the objective of a request's first event, as an ask carries it.
fn objective_ms(now: Moment, request: &InFlightRequest) -> u32 {
    match request.info.objective {
        Some(objective) if request.tokens_sent == 0 => {
            let left = (request.arrived + objective).since(now).as_millis();
            u32::try_from(left).unwrap_or(Ask::NO_OBJECTIVE)
        }
        _ => Ask::NO_OBJECTIVE,
    }
}

/// Returns the urgency of a request that has none of its own.
const fn default_urgency(class: Class) -> u8 {
    match class {
        Class::Interactive => 0,
        Class::Standard => 5,
        Class::Batch => LEAST_URGENT,
    }
}
