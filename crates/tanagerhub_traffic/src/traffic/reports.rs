//! What becomes of attempts.

use std::time::Duration;

use tanagerhub_clock::Moment;

use super::admission::status_of;
use super::{Fact, Traffic};
use crate::in_flight::{Attempt, Progress, Request, RequestKey};
use crate::{AttemptEvent, AttemptKey, Next, Outcome, Reason, Refusal, Repeat};

/// Tokens beyond the break after which a resumed request is no longer under suspicion.
const ACQUITTAL_TOKENS: u32 = 16;

/// How many times its usual high time a stream may take before it is moved.
const PACE_FACTOR: u32 = 2;

/// How an attempt failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Failure {
    /// No byte of the request can have run.
    NotRun,
    /// The connection broke.
    Broke,
    /// Something was overdue.
    TimedOut,
}

impl Traffic {
    /// Takes in what became of an attempt, and decides how to go on.
    ///
    /// Reports on attempts that have ended are ignored with [`Next::Done`].
    pub fn report(&mut self, now: Moment, attempt: AttemptKey, event: AttemptEvent) -> Next {
        if !self.attempts.contains_key(attempt) {
            return Next::Done;
        }
        match event {
            AttemptEvent::ConnectFailed => self.connect_failed(now, attempt),
            AttemptEvent::RefusedNotRun => self.refused_not_run(now, attempt),
            AttemptEvent::Cold => self.cold(now, attempt),
            AttemptEvent::FirstByte => self.first_byte(now, attempt),
            AttemptEvent::Token(count) => self.token(now, attempt, count),
            AttemptEvent::Silent => self.silent(now, attempt),
            AttemptEvent::Failed => self.fail_attempt(now, attempt, Failure::Broke),
            AttemptEvent::Broke => self.broke(now, attempt),
            AttemptEvent::TimedOut => self.timed_out(now, attempt),
            AttemptEvent::Finished { tokens } => self.finished(now, attempt, Some(tokens)),
            AttemptEvent::Answered => self.finished(now, attempt, None),
            AttemptEvent::CallerLeft => self.caller_left(attempt),
        }
    }

    /// Whether a request may be sent again, were this attempt to end without an answer.
    #[must_use]
    pub fn may_repeat(&self, now: Moment, attempt: AttemptKey) -> bool {
        let request = self.attempts.get(attempt).map(|attempt| attempt.request);
        let Some(request) = request.and_then(|key| self.requests.get(key)) else {
            return false;
        };
        let entry = self.entries.get(&request.info.entry);
        self.why_not_again(now, request, Failure::TimedOut)
            .is_none()
            && entry.is_some_and(|entry| entry.budget.has_one())
    }

    /// Whether a request may be sent again, and another group has room for it.
    pub fn may_move(&mut self, now: Moment, attempt: AttemptKey) -> bool {
        if !self.may_repeat(now, attempt) {
            return false;
        }
        let attempt = &self.attempts[attempt];
        let (key, group) = (attempt.request, attempt.group);
        let suspect = self.is_suspect(now, key);
        self.requests[key].tried.push(group);
        let choice = self.choose(now, key, suspect);
        self.requests[key].tried.pop();
        choice.is_some()
    }

    fn connect_failed(&mut self, now: Moment, key: AttemptKey) -> Next {
        if self.attempts[key].is_answered() {
            return self.broke(now, key);
        }
        self.fail_group(now, key);
        self.fail_attempt(now, key, Failure::NotRun)
    }

    /// Takes in a refusal; one that follows a token is not believed.
    fn refused_not_run(&mut self, now: Moment, key: AttemptKey) -> Next {
        if self.attempts[key].progress == Progress::Tokens {
            return self.broke(now, key);
        }
        if let Some(group) = self.groups.arena.get_mut(self.attempts[key].group) {
            group.refused();
        }
        self.fail_attempt(now, key, Failure::NotRun)
    }

    fn cold(&mut self, now: Moment, key: AttemptKey) -> Next {
        if let Some(group) = self.groups.arena.get_mut(self.attempts[key].group)
            && group.turn_cold(now)
        {
            self.counters.turned_cold += 1;
            let (group, epoch) = (group.route.group, group.route.epoch);
            self.tell(Fact::Cold { group, epoch });
        }
        Next::Continue
    }

    fn first_byte(&mut self, now: Moment, key: AttemptKey) -> Next {
        let attempt = &mut self.attempts[key];
        if attempt.is_answered() {
            return Next::Continue;
        }
        attempt.progress = Progress::FirstByte;
        let wait = now.since(attempt.started);
        attempt.waited = wait;
        let (request, hedge) = (attempt.request, attempt.hedge);
        if let Some(group) = self.groups.arena.get_mut(attempt.group) {
            group.first_byte(now, wait);
        }
        let Some(held) = self.requests.get_mut(request) else {
            return Next::Done;
        };
        let fresh = held.tokens == 0;
        if let Some(objective) = held.info.objective.filter(|_| fresh)
            && let Some(group) = self.groups.arena.get_mut(self.attempts[key].group)
        {
            group.paced(now, now.since(held.arrived), objective);
        }
        if let Some(entry) = self.entries.get_mut(&held.info.entry) {
            entry.first_byte.observe(wait.as_secs_f64());
        }
        let other = held.attempts.iter().copied().find(|it| *it != key);
        let Some(other) = other else {
            return Next::Continue;
        };
        held.worsen(Outcome::Unknown);
        if hedge {
            self.counters.hedge_wins += 1;
        }
        self.end_attempt(other);
        Next::CancelOther(other)
    }

    fn token(&mut self, now: Moment, key: AttemptKey, count: u32) -> Next {
        let next = self.first_byte(now, key);
        self.prove_whole(now, key);
        let attempt = &mut self.attempts[key];
        attempt.progress = Progress::Tokens;
        let Some(held) = self.requests.get_mut(attempt.request) else {
            return Next::Done;
        };
        let start = held.tokens;
        held.tokens = held.tokens.max(count);
        let resumed = held.sent > 1;
        if resumed && count >= start.saturating_add(ACQUITTAL_TOKENS) {
            let fingerprint = held.info.fingerprint;
            self.crashes.record_success(fingerprint);
        }
        match next {
            Next::Continue => self.move_stream(now, key).unwrap_or(Next::Continue),
            other => other,
        }
    }

    /// Resumes a stream elsewhere when it is far behind the usual pace.
    fn move_stream(&mut self, now: Moment, key: AttemptKey) -> Option<Next> {
        if !self.settings.moves_streams {
            return None;
        }
        let attempt = self.attempts.get(key)?;
        let (request, group) = (attempt.request, attempt.group);
        let held = self.requests.get_mut(request)?;
        let entry = self.entries.get(&held.info.entry)?;
        let planned = held.info.max_tokens.saturating_sub(attempt.resume_at);
        let usual = entry.reserve(planned);
        let late = !usual.is_zero() && now.since(attempt.started) > usual * PACE_FACTOR;
        let movable = held.info.repeat == Repeat::Resume && held.tokens < held.info.max_tokens;
        if !late || !movable || !entry.queue.is_empty() || !entry.budget.has_spare() {
            return None;
        }
        held.tried.push(group);
        let Some(dispatch) = self.try_dispatch(now, request, false) else {
            self.requests.get_mut(request)?.tried.pop();
            return None;
        };
        self.end_attempt(key);
        let held = self.requests.get_mut(request)?;
        held.worsen(Outcome::Ran);
        if let Some(entry) = self.entries.get_mut(&held.info.entry) {
            entry.budget.withdraw();
        }
        self.counters.moved += 1;
        Some(Next::Retry(dispatch))
    }

    /// Tells control that a token proves the group whole.
    fn prove_whole(&mut self, now: Moment, key: AttemptKey) {
        if let Some(group) = self.groups.arena.get_mut(self.attempts[key].group)
            && group.proves_whole(now)
        {
            let (group, epoch) = (group.route.group, group.route.epoch);
            self.tell(Fact::Answered { group, epoch });
        }
    }

    fn broke(&mut self, now: Moment, key: AttemptKey) -> Next {
        self.fail_group(now, key);
        let attempt = &self.attempts[key];
        if let (Some(request), Some(group)) = (
            self.requests.get(attempt.request),
            self.groups.arena.get(attempt.group),
        ) {
            let fingerprint = request.info.fingerprint;
            let (group, epoch) = (group.route.group, group.route.epoch);
            self.crashes.suspect(now, fingerprint, group, epoch);
        }
        self.fail_attempt(now, key, Failure::Broke)
    }

    fn timed_out(&mut self, now: Moment, key: AttemptKey) -> Next {
        let attempt = &self.attempts[key];
        let wait = now.since(attempt.started);
        if let Some(group) = self.groups.arena.get_mut(attempt.group) {
            group.timed_out(now, wait);
        }
        self.fail_attempt(now, key, Failure::TimedOut)
    }

    fn silent(&mut self, now: Moment, key: AttemptKey) -> Next {
        if let Some(group) = self.groups.arena.get_mut(self.attempts[key].group) {
            group.suspend(now);
            let (group, epoch) = (group.route.group, group.route.epoch);
            self.tell(Fact::Failed { group, epoch });
        }
        self.fail_attempt(now, key, Failure::TimedOut)
    }

    fn finished(&mut self, now: Moment, key: AttemptKey, tokens: Option<u32>) -> Next {
        let next = self.first_byte(now, key);
        let Some(attempt) = self.end_attempt(key) else {
            return Next::Done;
        };
        let took = now.since(attempt.started);
        let Some(request) = self.end_request(attempt.request, tokens) else {
            return Next::Done;
        };
        self.crashes.record_success(request.info.fingerprint);
        self.counters.finished += 1;
        if let Some(entry) = self.entries.get_mut(&request.info.entry) {
            let made = tokens.map(|tokens| tokens.saturating_sub(attempt.resume_at));
            entry.finished(took, attempt.waited, made);
        }
        match next {
            Next::CancelOther(_) => next,
            _ => Next::Done,
        }
    }

    fn caller_left(&mut self, key: AttemptKey) -> Next {
        let Some(attempt) = self.end_attempt(key) else {
            return Next::Done;
        };
        let other = self
            .requests
            .get(attempt.request)
            .and_then(|request| request.attempts.first().copied());
        if let Some(other) = other {
            self.end_attempt(other);
        }
        self.end_request(attempt.request, None);
        self.counters.left += 1;
        other.map_or(Next::Done, Next::CancelOther)
    }

    /// Withdraws a group at once and tells control.
    fn fail_group(&mut self, now: Moment, key: AttemptKey) {
        if let Some(group) = self.groups.arena.get_mut(self.attempts[key].group) {
            group.fail(now);
            let (group, epoch) = (group.route.group, group.route.epoch);
            self.tell(Fact::Failed { group, epoch });
        }
    }

    /// Ends an attempt and gives its place back.
    fn end_attempt(&mut self, key: AttemptKey) -> Option<Attempt> {
        let attempt = self.attempts.remove(key)?;
        if let Some(group) = self.groups.arena.get_mut(attempt.group) {
            group.end(attempt.is_answered(), attempt.suspect);
        }
        if let Some(request) = self.requests.get_mut(attempt.request) {
            request.attempts.retain(|it| *it != key);
            if let Some(entry) = self.entries.get_mut(&request.info.entry) {
                entry.running = entry.running.saturating_sub(1);
            }
        }
        Some(attempt)
    }

    /// Ends a failed attempt, and retries the request where that is safe and affordable.
    fn fail_attempt(&mut self, now: Moment, key: AttemptKey, failure: Failure) -> Next {
        let Some(attempt) = self.end_attempt(key) else {
            return Next::Done;
        };
        let Some(request) = self.requests.get_mut(attempt.request) else {
            return Next::Done;
        };
        request.worsen(outcome_of(failure, attempt.is_answered()));
        request.tried.push(attempt.group);
        request.fresh |= failure == Failure::TimedOut;
        if !request.attempts.is_empty() {
            return Next::Done;
        }
        match self.why_not_retry(now, attempt.request, failure) {
            Some(reason) => self.give_up_request(attempt.request, reason),
            None => self.retry(now, attempt.request),
        }
    }

    /// The reason why a request may not be sent again, if there is one; else it is paid for.
    fn why_not_retry(&mut self, now: Moment, key: RequestKey, failure: Failure) -> Option<Reason> {
        let request = &self.requests[key];
        if let Some(reason) = self.why_not_again(now, request, failure) {
            return Some(reason);
        }
        let granted = self
            .entries
            .get_mut(&request.info.entry)
            .is_some_and(|entry| entry.budget.withdraw());
        if granted {
            return None;
        }
        self.counters.budget_empty += 1;
        Some(Reason::BackendFailed)
    }

    /// The reason, whatever the budget, why a request may not be sent again, if there is one.
    fn why_not_again(&self, now: Moment, request: &Request, failure: Failure) -> Option<Reason> {
        let repeat = request.info.repeat;
        if failure != Failure::NotRun && repeat == Repeat::Never {
            return Some(Reason::BackendFailed);
        }
        if request.tokens > 0 && repeat != Repeat::Resume {
            return Some(Reason::BrokenAnswer);
        }
        if request.info.deadline <= now {
            return Some(Reason::DeadlinePassed);
        }
        if self
            .crashes
            .refused_for(now, request.info.fingerprint)
            .is_some()
        {
            return Some(Reason::Crashes);
        }
        let used = request.sent >= request.info.attempts.unwrap_or(self.settings.attempts);
        (used || !self.takes_work).then_some(Reason::BackendFailed)
    }

    fn retry(&mut self, now: Moment, key: RequestKey) -> Next {
        self.counters.retries += 1;
        if let Some(dispatch) = self.try_dispatch(now, key, false) {
            return Next::Retry(dispatch);
        }
        if let Some(request) = self.requests.get_mut(key) {
            request.tried.clear();
        }
        match self.enqueue_again(now, key) {
            Some(until) => Next::Wait(until),
            None => self.give_up_request(key, Reason::DeadlinePassed),
        }
    }

    /// Ends a request that can't go on; its final answer is due now.
    fn give_up_request(&mut self, key: RequestKey, reason: Reason) -> Next {
        let Some(request) = self.end_request(key, None) else {
            return Next::Done;
        };
        let outcome = request.outcome;
        self.count_failure(outcome);
        Next::Fail(Refusal {
            reason,
            retry_after: self.retry_after(reason, outcome, request.info.repeat),
            outcome,
            status: status_of(reason, outcome),
        })
    }

    /// When the caller may ask again; never, where asking again could run the work twice.
    fn retry_after(&self, reason: Reason, outcome: Outcome, repeat: Repeat) -> Option<Duration> {
        let safe = outcome == Outcome::NotRun || repeat != Repeat::Never;
        (safe && reason != Reason::Crashes).then_some(self.settings.retry_floor)
    }

    pub(super) const fn count_failure(&mut self, outcome: Outcome) {
        match outcome {
            Outcome::NotRun => self.counters.failed_not_run += 1,
            Outcome::Ran => self.counters.failed_ran += 1,
            Outcome::Unknown => self.counters.failed_unknown += 1,
        }
    }
}

/// What is known of an attempt that failed this way.
const fn outcome_of(failure: Failure, answered: bool) -> Outcome {
    match (failure, answered) {
        (Failure::NotRun, _) => Outcome::NotRun,
        (Failure::Broke | Failure::TimedOut, true) => Outcome::Ran,
        (Failure::Broke | Failure::TimedOut, false) => Outcome::Unknown,
    }
}
