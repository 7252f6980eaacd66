//! Queueing of requests that wait for a group.

use std::cmp::Reverse;

use tanagerhub_catalogue::{EntryId, RequestId};
use tanagerhub_clock::Moment;

use super::admission::{refusal, status_of};
use super::{SharedCapacity, Timer, Traffic};
use crate::in_flight::RequestKey;
use crate::{AttemptKey, Decision, Outcome, Reason, Refusal};

/// Maximum number of waiting requests skipped in one pass because only groups without room fit
/// them.
const MAX_SKIPPED_REQUESTS: usize = 64;

impl Traffic {
    /// Runs the due timers, dispatches waiting requests and starts hedges.
    ///
    /// Returns a decision for each request that is now dispatched or refused.
    pub fn poll(&mut self, now: Moment) -> Vec<(RequestId, Decision)> {
        self.poll_capacity(now);
        self.poll_self_reports(now);
        self.fire_timers(now);
        if !self.takes_work {
            self.refuse_all_waiting();
        }
        let entries: Vec<EntryId> = self
            .entries
            .iter()
            .filter(|(_, state)| !state.queue.is_empty())
            .map(|(id, _)| *id)
            .collect();
        for entry in entries {
            self.dispatch_queued(now, entry);
        }
        std::mem::take(&mut self.ready)
    }

    /// Returns the latest moment for the next [`poll`](Self::poll), if no other call is made
    /// before.
    #[must_use]
    pub fn next_wakeup(&self) -> Option<Moment> {
        if !self.ready.is_empty() {
            return Some(Moment::ZERO);
        }
        let timer = self.timers.peek().map(|Reverse((at, _))| *at);
        let capacity = self.capacity.as_ref().and_then(SharedCapacity::next_wakeup);
        let pause = self.groups.self_reports.next_end();
        timer.into_iter().chain(capacity).chain(pause).min()
    }

    /// Removes a waiting request whose caller disconnected. Returns whether it was waiting.
    pub fn cancel_waiting(&mut self, request: RequestId) -> bool {
        let Some(key) = self.waiting.get(&request).copied() else {
            return false;
        };
        self.dequeue(key);
        self.end_unanswered(key);
        self.counters.left += 1;
        true
    }

    pub(super) fn enqueue_new(
        &mut self,
        now: Moment,
        key: RequestKey,
        weight: u32,
        work: f64,
    ) -> Decision {
        let share = self.share.share();
        let request = &self.requests[key];
        let (id, queue_key) = (request.info.id, request.queue_key);
        let tokens = request.info.max_tokens;
        let Some(entry) = self.entries.get_mut(&request.info.entry) else {
            return Decision::Wait(now);
        };
        let limit = share.count(entry.limits.queue).max(1) as usize;
        let number = entry.queue.push(queue_key, weight, work, key);
        let evicted = if entry.queue.len() > limit {
            let weights = &self.weights;
            let weight = |id| weights.get(&id).copied().unwrap_or(1);
            entry.queue.evict(queue_key.class, weight)
        } else {
            None
        };
        let until = entry.latest_start(now, queue_key.deadline, tokens);
        let until = self.requests[key].info.queue_deadline(now, until);
        let retry = entry.expected_wait(0.0).max(self.settings.retry_floor);
        self.requests[key].queue_number = Some(number);
        self.requests[key].waits_until = Some(until);
        self.counters.queued += 1;
        let queue_full = refusal(Reason::QueueFull, Some(retry));
        match evicted {
            Some(evicted) if evicted == key => {
                self.end_request(key, None);
                return self.refuse(queue_full);
            }
            Some(evicted) => self.refuse_waiting(evicted, queue_full),
            None => {}
        }
        self.waiting.insert(id, key);
        self.timers
            .push(Reverse((until, Timer::QueueTimeout(key, number))));
        self.ask_waiting(now, key, until);
        Decision::Wait(until)
    }

    /// Queues a request again after a failed attempt. Returns `None` if its queue deadline has
    /// passed.
    pub(super) fn requeue(&mut self, now: Moment, key: RequestKey) -> Option<Moment> {
        let request = self.requests.get_mut(key)?;
        let entry = self.entries.get_mut(&request.info.entry)?;
        let left = request.info.max_tokens.saturating_sub(request.tokens_sent);
        let until = entry.latest_start(now, request.info.deadline, left);
        let until = if request.tokens_sent > 0 {
            request.info.resume_deadline(now, until)
        } else {
            request.info.queue_deadline(now, until)
        };
        if until <= now {
            return None;
        }
        let number = entry.queue.push_front(request.queue_key, key);
        request.queue_number = Some(number);
        request.waits_until = Some(until);
        self.waiting.insert(request.info.id, key);
        self.timers
            .push(Reverse((until, Timer::QueueTimeout(key, number))));
        self.ask_waiting(now, key, until);
        Some(until)
    }

    fn fire_timers(&mut self, now: Moment) {
        while let Some(Reverse((at, timer))) = self.timers.peek().copied() {
            if at > now {
                break;
            }
            self.timers.pop();
            match timer {
                Timer::QueueTimeout(key, number) => self.time_out_waiting(now, key, number),
                Timer::Hedge(attempt) => self.hedge(now, attempt),
            }
        }
    }

    /// Refuses a request that still waits at its queue deadline.
    fn time_out_waiting(&mut self, now: Moment, key: RequestKey, number: u64) {
        let waits = self
            .requests
            .get(key)
            .is_some_and(|it| it.queue_number == Some(number));
        if !waits {
            return;
        }
        let entry = self.requests[key].info.entry;
        let late = refusal(Reason::DeadlinePassed, Some(self.settings.retry_floor));
        let refusal = self.pause_refusal(now, entry, now).unwrap_or(late);
        self.dequeue(key);
        self.refuse_waiting(key, refusal);
    }

    /// Starts a second attempt if the first has no response yet, the retry budget allows it, and
    /// the request is not suspected of crashing backend servers.
    fn hedge(&mut self, now: Moment, attempt: AttemptKey) {
        let Some(running) = self.attempts.get(attempt) else {
            return;
        };
        let (key, group) = (running.request, running.group);
        if running.has_first_byte() || self.is_suspect(now, key) || self.is_blamed(now, key) {
            return;
        }
        let Some(request) = self.requests.get_mut(key) else {
            return;
        };
        if request.attempts.len() != 1 {
            return;
        }
        let id = request.info.id;
        let Some(entry) = self.entries.get_mut(&request.info.entry) else {
            return;
        };
        if !entry.queue.is_empty() || !entry.budget.withdraw_spare() {
            return;
        }
        request.tried.push(group);
        let dispatch = self.try_dispatch(now, key, true);
        if dispatch.is_none() {
            self.ask_hedge(now, key);
        }
        if let Some(request) = self.requests.get_mut(key) {
            request.tried.pop();
        }
        if let Some(dispatch) = dispatch {
            self.counters.hedges += 1;
            self.ready.push((id, Decision::Dispatch(dispatch)));
        }
    }

    fn refuse_all_waiting(&mut self) {
        let keys: Vec<RequestKey> = self.waiting.values().copied().collect();
        for key in keys {
            self.dequeue(key);
            self.refuse_waiting(key, refusal(Reason::Stale, Some(self.settings.retry_floor)));
        }
    }

    /// Dispatches waiting requests of an entry in the queue's order, until no group has room.
    fn dispatch_queued(&mut self, now: Moment, entry: EntryId) {
        let mut skipped = Vec::new();
        while skipped.len() < MAX_SKIPPED_REQUESTS {
            let Some(queued) = self.entries.get_mut(&entry).and_then(|it| it.queue.pop()) else {
                break;
            };
            let key = queued.item;
            if let Some(refusal) = self.waiting_crash_refusal(now, key) {
                self.requests[key].queue_number = None;
                self.refuse_waiting(key, refusal);
                continue;
            }
            let Some(dispatch) = self.try_dispatch(now, key, false) else {
                skipped.push(queued);
                if !self.fits_only_some_groups(now, key) {
                    break;
                }
                continue;
            };
            let request = &mut self.requests[key];
            request.queue_number = None;
            let id = request.info.id;
            self.waiting.remove(&id);
            self.ready.push((id, Decision::Dispatch(dispatch)));
        }
        for queued in skipped.into_iter().rev() {
            if let Some(state) = self.entries.get_mut(&entry) {
                state.queue.put_back(queued);
            }
        }
    }

    /// Returns the refusal of a waiting request whose crashes became known while it waited.
    pub(super) fn waiting_crash_refusal(
        &mut self,
        now: Moment,
        key: RequestKey,
    ) -> Option<Refusal> {
        let info = &self.requests.get(key)?.info;
        let (fingerprint, parts) = (info.fingerprint, info.parts.clone());
        self.crash_refusal(now, fingerprint, &parts)
    }

    /// Whether only some groups fit this request, so that requests behind it may be sent first.
    fn fits_only_some_groups(&self, now: Moment, key: RequestKey) -> bool {
        self.requests.get(key).is_some_and(|request| {
            !request.tried.is_empty() || self.crashes.is_suspect(now, request.info.fingerprint)
        })
    }

    /// Removes a request from its queue.
    pub(super) fn dequeue(&mut self, key: RequestKey) {
        let Some(request) = self.requests.get_mut(key) else {
            return;
        };
        self.waiting.remove(&request.info.id);
        let Some(number) = request.queue_number.take() else {
            return;
        };
        if let Some(entry) = self.entries.get_mut(&request.info.entry) {
            entry.queue.remove(request.queue_key, number);
        }
    }

    /// Ends a waiting request and queues its refusal for the next [`poll`](Self::poll).
    pub(super) fn refuse_waiting(&mut self, key: RequestKey, refusal: Refusal) {
        let Some(request) = self.end_unanswered(key) else {
            return;
        };
        self.waiting.remove(&request.info.id);
        let outcome = request.outcome;
        let decision = self.refuse(Refusal {
            outcome,
            status: status_of(refusal.reason, outcome),
            ..refusal
        });
        if outcome != Outcome::NotRun {
            self.count_failure(outcome);
        }
        self.ready.push((request.info.id, decision));
    }
}
