//! Admission of requests.

use std::time::Duration;

use tanagerhub_clock::Moment;

use super::Traffic;
use crate::in_flight::{Request, RequestKey};
use crate::{Decision, Outcome, QueueKey, Reason, Refusal, RequestInfo};

/// Retry delay in the response when no group serves the entry.
const NO_GROUP_RETRY_AFTER: Duration = Duration::from_secs(1);
/// Maximum retry delay in the response when the entry is overloaded.
const MAX_RETRY_AFTER: Duration = Duration::from_mins(1);

impl Traffic {
    /// Admits, queues or refuses a caller's request.
    ///
    /// For a request that waits, a later [`poll`](Self::poll) returns a dispatch or a refusal. A
    /// refused request needs no further call.
    pub fn submit(&mut self, now: Moment, info: RequestInfo) -> Decision {
        self.counters.requests += 1;
        match self.admit(now, &info) {
            Ok(queue_key) => self.accept(now, info, queue_key),
            Err(refusal) => self.refuse(refusal),
        }
    }

    /// Makes the checks that come before queueing, then charges the organisation's limits.
    fn admit(&mut self, now: Moment, info: &RequestInfo) -> Result<QueueKey, Refusal> {
        if !self.drain.accepts(now) {
            return Err(refusal(
                Reason::ShuttingDown,
                Some(self.settings.retry_floor),
            ));
        }
        if !self.takes_work {
            return Err(refusal(Reason::Stale, Some(self.settings.retry_floor)));
        }
        let Some(entry) = self.entries.get(&info.entry) else {
            return Err(refusal(Reason::UnknownEntry, None));
        };
        let entry_class = entry.class;
        if info.deadline <= now {
            return Err(refusal(Reason::DeadlinePassed, None));
        }
        if let Some(refusal) = self.crash_refusal(now, info.fingerprint, &info.parts) {
            return Err(refusal);
        }
        let class = info.class;
        let class = class.map_or(entry_class, |class| class.max(entry_class));
        let queue_key = QueueKey::new(class, info.organisation, info.deadline);
        self.check_expected_wait(now, info, queue_key)?;
        let floor = self.settings.retry_floor;
        self.organisations
            .entry(info.organisation)
            .or_default()
            .admit(now, token_cost(info))
            .map_err(|(reason, wait)| refusal(reason, Some(wait.max(floor))))?;
        Ok(queue_key)
    }

    /// Refuses a request whose expected wait exceeds the time that it may wait.
    fn check_expected_wait(
        &self,
        now: Moment,
        info: &RequestInfo,
        queue_key: QueueKey,
    ) -> Result<(), Refusal> {
        let entry = &self.entries[&info.entry];
        let latest = entry.latest_start(now, info.deadline, info.max_tokens);
        let latest = info.queue_deadline(now, latest);
        if let Some(refusal) = self.pause_refusal(now, info.entry, latest) {
            return Err(refusal);
        }
        if entry.queue.is_empty() || self.coordinator_decides(now, info.entry) {
            return Ok(());
        }
        let weight = |id| self.weights.get(&id).copied().unwrap_or(1);
        let ahead = entry
            .queue
            .ahead(queue_key.class, queue_key.organisation, weight);
        let wait = entry.expected_wait(ahead);
        if now + wait <= latest {
            return Ok(());
        }
        let excess = wait.saturating_sub(latest.since(now));
        let retry = excess.clamp(self.settings.retry_floor, MAX_RETRY_AFTER);
        Err(refusal(Reason::Overloaded, Some(retry)))
    }

    fn accept(&mut self, now: Moment, info: RequestInfo, queue_key: QueueKey) -> Decision {
        let entry_id = info.entry;
        let work = info.cost();
        let weight = self.weight(queue_key.organisation);
        let key = self.requests.insert(Request::new(now, info, queue_key));
        let Some(entry) = self.entries.get_mut(&entry_id) else {
            return Decision::Wait(now);
        };
        entry.budget.deposit();
        if entry.queue.is_empty()
            && let Some(dispatch) = self.try_dispatch(now, key, false)
        {
            if let Some(entry) = self.entries.get_mut(&entry_id) {
                entry.queue.charge(queue_key, weight, work);
            }
            return Decision::Dispatch(dispatch);
        }
        let request = &self.requests[key].info;
        if request.queue_timeout.is_some() && self.groups.serving(entry_id) == 0 {
            self.end_request(key, None);
            return self.refuse(refusal(Reason::NoGroup, Some(NO_GROUP_RETRY_AFTER)));
        }
        self.enqueue_new(now, key, weight, work)
    }

    pub(super) fn weight(&self, organisation: tanagerhub_catalogue::OrganisationId) -> u32 {
        self.weights.get(&organisation).copied().unwrap_or(1)
    }

    /// Returns why and for how long a request is refused because of its crashes or those of a part
    /// of its prompt, or `None`.
    pub(super) fn crash_refusal(
        &mut self,
        now: Moment,
        fingerprint: u64,
        parts: &[u64],
    ) -> Option<Refusal> {
        if let Some(wait) = self.crashes.refused_for(now, fingerprint) {
            self.crashes.record_refusal(now, fingerprint);
            return Some(refusal(Reason::Crashes, Some(wait)));
        }
        let wait = self.crashes.refuse_parts(now, parts)?;
        Some(refusal(Reason::Crashes, Some(wait)))
    }

    pub(super) fn refuse(&mut self, refusal: Refusal) -> Decision {
        self.count_refusal(refusal.reason);
        Decision::Refuse(refusal)
    }

    const fn count_refusal(&mut self, reason: Reason) {
        match reason {
            Reason::RequestRate | Reason::TokenRate | Reason::Concurrency => {
                self.counters.over_limit += 1;
            }
            Reason::Overloaded
            | Reason::NoGroup
            | Reason::Paused
            | Reason::QueueFull
            | Reason::DeadlinePassed => {
                self.counters.overloaded += 1;
            }
            _ => self.counters.refused += 1,
        }
    }

    /// Ends a request without a complete response.
    pub(super) fn end_unanswered(&mut self, key: RequestKey) -> Option<Request> {
        let request = self.end_request(key, None)?;
        self.crashes.settle(request.info.fingerprint);
        Some(request)
    }

    /// Ends a request and refunds its unused tokens to its organisation.
    pub(super) fn end_request(&mut self, key: RequestKey, used: Option<u32>) -> Option<Request> {
        self.forget_ask(key);
        let request = self.requests.remove(key)?;
        let unused = match (used, request.attempts_sent) {
            (Some(tokens), _) => f64::from(request.info.max_tokens.saturating_sub(tokens)),
            (None, 0) => token_cost(&request.info),
            (None, _) => f64::from(request.info.max_tokens.saturating_sub(request.tokens_sent)),
        };
        if let Some(meter) = self.organisations.get_mut(&request.info.organisation) {
            meter.release(unused);
        }
        Some(request)
    }
}

/// Builds the refusal of a request of which nothing ran.
pub(super) const fn refusal(reason: Reason, retry_after: Option<Duration>) -> Refusal {
    Refusal {
        reason,
        retry_after,
        outcome: Outcome::NotRun,
        status: status_of(reason, Outcome::NotRun),
    }
}

/// Returns the HTTP status of an error.
pub(super) const fn status_of(reason: Reason, outcome: Outcome) -> u16 {
    match (reason, outcome) {
        (Reason::UnknownEntry, _) => 404,
        (Reason::RequestRate | Reason::TokenRate | Reason::Concurrency, _) => 429,
        (Reason::Crashes, _) => 422,
        (Reason::DeadlinePassed, _) => 504,
        (_, Outcome::NotRun) => 503,
        (_, Outcome::Ran | Outcome::Unknown) => 502,
    }
}

fn token_cost(info: &RequestInfo) -> f64 {
    f64::from(info.prompt_tokens) + f64::from(info.max_tokens)
}
