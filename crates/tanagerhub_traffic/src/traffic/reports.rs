//! Handling of the events of attempts: failures, retries and moved streams.

use std::collections::BTreeSet;
use std::time::Duration;

use tanagerhub_catalogue::VmId;
use tanagerhub_clock::Moment;

use super::admission::status_of;
use super::capacity_report::Ending;
use super::{GroupObservation, Traffic};
use crate::in_flight::{Attempt, Progress, Request, RequestKey};
use crate::{
    AttemptEvent, AttemptKey, Evidence, FailedAttempt, Next, Outcome, Reason, Refusal, Repeat,
    ServerLimitChange,
};

/// A stream is moved when it takes more than this many times its expected maximum.
const SLOW_STREAM_FACTOR: u32 = 2;

/// Kinds of failed attempts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Failure {
    /// The request was not sent.
    NotSent,
    /// The request was not sent, because its backend server leaves or wants a pause.
    Withheld,
    /// No part of the request can have run.
    NotRun,
    /// The connection was closed early, or the backend server failed.
    Broke,
    /// The first byte or the next token came too late.
    TimedOut,
}

impl Traffic {
    /// Handles an event of an attempt and decides what the edge does next.
    ///
    /// Reports on attempts that have ended are ignored with [`Next::Done`].
    pub fn report(&mut self, now: Moment, attempt: AttemptKey, event: AttemptEvent) -> Next {
        if !self.attempts.contains_key(attempt) {
            return Next::Done;
        }
        self.record_time(now);
        match event {
            AttemptEvent::ConnectFailed => self.connect_failed(now, attempt),
            AttemptEvent::NotSent => self.fail_attempt(now, attempt, Failure::NotSent),
            AttemptEvent::Withheld => self.fail_attempt(now, attempt, Failure::Withheld),
            AttemptEvent::RefusedNotRun => self.refused_not_run(now, attempt),
            AttemptEvent::Cold => self.cold(now, attempt),
            AttemptEvent::FirstByte => self.first_byte(now, attempt),
            AttemptEvent::Token(count) => self.token(now, attempt, count),
            AttemptEvent::Silent => self.group_silent(now, attempt),
            AttemptEvent::Failed => self.fail_attempt(now, attempt, Failure::Broke),
            AttemptEvent::Broke => self.connection_broke(now, attempt, Evidence::Broken),
            AttemptEvent::KeptConnectionBroke => self.kept_connection_broke(now, attempt),
            AttemptEvent::TimedOut => self.timed_out(now, attempt),
            AttemptEvent::Finished { tokens } => self.finished(now, attempt, Some(tokens)),
            AttemptEvent::Responded => self.finished(now, attempt, None),
            AttemptEvent::CallerLeft => self.caller_left(now, attempt),
        }
    }

    /// Records the request rate that a backend server advertises in the response to an attempt;
    /// `None` means that the response has no limit.
    ///
    /// Such a response lifts a limit only if the limit was known before the attempt, since
    /// responses may overtake each other. Returns the change, if any.
    pub fn record_server_limit(
        &mut self,
        now: Moment,
        attempt: AttemptKey,
        limit: Option<f64>,
    ) -> Option<ServerLimitChange> {
        let attempt = self.attempts.get(attempt)?;
        if limit.is_none() && !attempt.limited {
            return None;
        }
        let limits = &mut self.groups.server_limits;
        limits.observe(now, attempt.server.server, limit)
    }

    /// Applies the limit that a backend server advertised to another node; `None` means that it was
    /// lifted. Returns the change, if any.
    pub fn apply_server_limit(
        &mut self,
        now: Moment,
        server: VmId,
        limit: Option<f64>,
    ) -> Option<ServerLimitChange> {
        let limits = &mut self.groups.server_limits;
        limits.apply_observation(now, server, limit)
    }

    /// Returns the limit that a backend server advertises, in requests a second from all nodes.
    #[must_use]
    pub fn server_limit(&self, server: VmId) -> Option<f64> {
        self.groups.server_limits.limit(server)
    }

    /// Returns the backend servers that advertise a limit.
    pub fn limited_servers(&self) -> impl Iterator<Item = VmId> {
        self.groups.server_limits.limited()
    }

    /// Returns the backend servers whose limits this node found changed since the last call, which
    /// the other nodes must be told.
    pub fn take_changed_limits(&mut self) -> BTreeSet<VmId> {
        self.groups.server_limits.take_changed()
    }

    /// Whether the request could be sent again if this attempt ended without a response.
    #[must_use]
    pub fn may_repeat(&self, now: Moment, attempt: AttemptKey) -> bool {
        let request = self.attempts.get(attempt).map(|attempt| attempt.request);
        let Some(request) = request.and_then(|key| self.requests.get(key)) else {
            return false;
        };
        let entry = self.entries.get(&request.info.entry);
        self.repeat_denial(now, request, Failure::TimedOut)
            .is_none()
            && entry.is_some_and(|entry| entry.budget.has_one())
    }

    /// Whether the request may be sent again and another group has room for it.
    ///
    /// Where coordinators grant starts, a call may ask for one that a later call finds.
    pub fn may_move(&mut self, now: Moment, attempt: AttemptKey) -> bool {
        if !self.may_repeat(now, attempt) {
            return false;
        }
        let attempt = &self.attempts[attempt];
        let (key, group) = (attempt.request, attempt.group);
        let suspect = self.is_suspect(now, key);
        self.requests[key].tried.push(group);
        let choice = self.choose(now, key, suspect);
        let may_move = choice.is_some() || self.require_grant(now, key);
        self.requests[key].tried.pop();
        may_move
    }

    fn connect_failed(&mut self, now: Moment, key: AttemptKey) -> Next {
        if self.attempts[key].has_first_byte() {
            return self.connection_broke(now, key, Evidence::Broken);
        }
        self.fail_group(now, key);
        self.fail_attempt(now, key, Failure::NotRun)
    }

    /// Handles a refusal. A refusal after a token contradicts it and counts as a broken connection.
    fn refused_not_run(&mut self, now: Moment, key: AttemptKey) -> Next {
        if self.attempts[key].progress == Progress::Tokens {
            return self.connection_broke(now, key, Evidence::Broken);
        }
        if let Some(group) = self.groups.arena.get_mut(self.attempts[key].group) {
            group.refused();
        }
        self.fail_attempt(now, key, Failure::NotRun)
    }

    fn cold(&mut self, now: Moment, key: AttemptKey) -> Next {
        if let Some(group) = self.groups.arena.get_mut(self.attempts[key].group)
            && group.mark_cold(now)
        {
            self.counters.turned_cold += 1;
            let (group, epoch) = (group.route.group, self.attempts[key].epoch);
            self.record_observation(GroupObservation::Cold { group, epoch });
        }
        Next::Continue
    }

    fn first_byte(&mut self, now: Moment, key: AttemptKey) -> Next {
        let attempt = &mut self.attempts[key];
        if attempt.has_first_byte() {
            return Next::Continue;
        }
        attempt.progress = Progress::FirstByte;
        let wait = now.since(attempt.started);
        attempt.first_byte_wait = wait;
        let (request, hedge) = (attempt.request, attempt.hedge);
        self.withdraw_further(now, request);
        self.report_first_byte(key);
        let attempt = &self.attempts[key];
        if let Some(group) = self.groups.arena.get_mut(attempt.group) {
            group.first_byte(now, wait);
            group.record_survival(now, attempt.epoch);
            self.groups
                .self_reports
                .record_first_byte(attempt.server.server);
            self.crashes
                .record_response(group.route.group, attempt.epoch);
        }
        let Some(state) = self.requests.get_mut(request) else {
            return Next::Done;
        };
        let first_attempt = state.tokens_sent == 0;
        if let Some(objective) = state.info.objective.filter(|_| first_attempt)
            && let Some(group) = self.groups.arena.get_mut(self.attempts[key].group)
        {
            group.update_pace(now, now.since(state.arrived), objective);
        }
        if let Some(entry) = self.entries.get_mut(&state.info.entry) {
            entry.first_byte.observe(wait.as_secs_f64());
        }
        let other = state.attempts.iter().copied().find(|it| *it != key);
        let Some(other) = other else {
            return Next::Continue;
        };
        state.add_outcome(Outcome::Unknown);
        if hedge {
            self.counters.hedge_wins += 1;
        }
        self.end_attempt(other);
        Next::CancelOther(other)
    }

    fn token(&mut self, now: Moment, key: AttemptKey, count: u32) -> Next {
        let next = self.first_byte(now, key);
        self.withdraw_further(now, self.attempts[key].request);
        self.record_complete(now, key);
        let attempt = &mut self.attempts[key];
        if let Some(group) = self.groups.arena.get_mut(attempt.group) {
            group.record_survival(now, attempt.epoch);
        }
        attempt.progress = Progress::Tokens;
        let Some(state) = self.requests.get_mut(attempt.request) else {
            return Next::Done;
        };
        state.tokens_sent = state.tokens_sent.max(count);
        match next {
            Next::Continue => self.move_stream(now, key).unwrap_or(Next::Continue),
            other => other,
        }
    }

    /// Resumes a stream at another group when it is much slower than usual.
    fn move_stream(&mut self, now: Moment, key: AttemptKey) -> Option<Next> {
        if !self.settings.moves_streams {
            return None;
        }
        let attempt = self.attempts.get(key)?;
        let (request, group) = (attempt.request, attempt.group);
        let state = self.requests.get_mut(request)?;
        let entry = self.entries.get(&state.info.entry)?;
        let planned = state.info.max_tokens.saturating_sub(attempt.resume_at);
        let bound = entry.response_time_bound(planned);
        let late = !bound.is_zero() && now.since(attempt.started) > bound * SLOW_STREAM_FACTOR;
        let movable =
            state.info.repeat == Repeat::Resume && state.tokens_sent < state.info.max_tokens;
        if !late || !movable || !entry.queue.is_empty() || !entry.budget.has_spare() {
            return None;
        }
        state.tried.push(group);
        let Some(dispatch) = self.try_dispatch(now, request, false) else {
            self.requests.get_mut(request)?.tried.pop();
            return None;
        };
        self.end_attempt(key);
        let state = self.requests.get_mut(request)?;
        state.add_outcome(Outcome::Ran);
        if let Some(entry) = self.entries.get_mut(&state.info.entry) {
            entry.budget.withdraw();
        }
        self.counters.moved += 1;
        Some(Next::Retry(dispatch))
    }

    /// Records that the group is complete, because it sent a token.
    fn record_complete(&mut self, now: Moment, key: AttemptKey) {
        if let Some(group) = self.groups.arena.get_mut(self.attempts[key].group)
            && group.should_report_complete(now)
        {
            let (group, epoch) = (group.route.group, self.attempts[key].epoch);
            self.record_observation(GroupObservation::Responded { group, epoch });
        }
    }

    fn kept_connection_broke(&mut self, now: Moment, key: AttemptKey) -> Next {
        let request = self.attempts[key].request;
        if let Some(request) = self.requests.get_mut(request) {
            request.needs_fresh_connection = true;
        }
        self.connection_broke(now, key, Evidence::Unanswered)
    }

    fn connection_broke(&mut self, now: Moment, key: AttemptKey, evidence: Evidence) -> Next {
        self.fail_group(now, key);
        self.suspect_crash(now, key, evidence);
        self.fail_attempt(now, key, Failure::Broke)
    }

    /// Records that an attempt ended without a complete response.
    fn suspect_crash(&mut self, now: Moment, key: AttemptKey, evidence: Evidence) {
        let attempt = &self.attempts[key];
        if let (Some(request), Some(group)) = (
            self.requests.get(attempt.request),
            self.groups.arena.get(attempt.group),
        ) {
            if group.has_exceeded_memory(attempt.epoch, attempt.tokens) {
                let group = group.route.group;
                self.crashes.excuse(now, group, attempt.epoch, evidence);
                return;
            }
            let failed = FailedAttempt {
                fingerprint: request.info.fingerprint,
                group: group.route.group,
                epoch: attempt.epoch,
                started: attempt.started,
                evidence,
            };
            let parts = &request.info.parts;
            self.crashes.suspect_parts(now, failed, parts);
        }
    }

    /// Returns what an attempt says about its group if it ends now without a further byte.
    fn evidence_without_end(&self, key: AttemptKey) -> Evidence {
        if self.attempts[key].has_first_byte() {
            Evidence::Interrupted
        } else {
            Evidence::Unanswered
        }
    }

    fn timed_out(&mut self, now: Moment, key: AttemptKey) -> Next {
        let attempt = &self.attempts[key];
        let wait = now.since(attempt.started);
        if let Some(group) = self.groups.arena.get_mut(attempt.group) {
            group.timed_out(now, wait);
        }
        self.suspect_crash(now, key, self.evidence_without_end(key));
        self.fail_attempt(now, key, Failure::TimedOut)
    }

    fn group_silent(&mut self, now: Moment, key: AttemptKey) -> Next {
        if let Some(group) = self.groups.arena.get_mut(self.attempts[key].group) {
            group.suspend(now);
            let (group, epoch) = (group.route.group, self.attempts[key].epoch);
            self.record_observation(GroupObservation::Failed { group, epoch });
        }
        self.suspect_crash(now, key, self.evidence_without_end(key));
        self.fail_attempt(now, key, Failure::TimedOut)
    }

    fn finished(&mut self, now: Moment, key: AttemptKey, tokens: Option<u32>) -> Next {
        let next = self.first_byte(now, key);
        self.cancel_others(key);
        let ending = Ending {
            tokens,
            ..Ending::default()
        };
        let Some(attempt) = self.end_attempt_as(key, ending) else {
            return Next::Done;
        };
        let elapsed = now.since(attempt.started);
        let Some(request) = self.end_request(attempt.request, tokens) else {
            return Next::Done;
        };
        self.crashes.record_success(now, request.info.fingerprint);
        if is_complete_run(&request, &attempt, tokens) {
            let parts = &request.info.parts;
            self.crashes
                .record_part_success(now, parts, attempt.started);
        }
        self.counters.finished += 1;
        if let Some(entry) = self.entries.get_mut(&request.info.entry) {
            let generated = tokens.map(|tokens| tokens.saturating_sub(attempt.resume_at));
            entry.finished(elapsed, attempt.first_byte_wait, generated);
        }
        match next {
            Next::CancelOther(_) => next,
            _ => Next::Done,
        }
    }

    fn caller_left(&mut self, now: Moment, key: AttemptKey) -> Next {
        self.suspect_crash(now, key, self.evidence_without_end(key));
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
        self.end_unanswered(attempt.request);
        self.counters.left += 1;
        other.map_or(Next::Done, Next::CancelOther)
    }

    /// Counts a failure of the group, which may suspend it, and records it for the control thread.
    fn fail_group(&mut self, now: Moment, key: AttemptKey) {
        if let Some(group) = self.groups.arena.get_mut(self.attempts[key].group) {
            group.record_failure(now);
            let (group, epoch) = (group.route.group, self.attempts[key].epoch);
            self.record_observation(GroupObservation::Failed { group, epoch });
        }
    }

    /// Ends an attempt and frees its capacity.
    pub(super) fn end_attempt(&mut self, key: AttemptKey) -> Option<Attempt> {
        self.end_attempt_as(key, Ending::default())
    }

    fn end_attempt_as(&mut self, key: AttemptKey, ending: Ending) -> Option<Attempt> {
        let attempt = self.attempts.remove(key)?;
        self.record_sample(&attempt, ending);
        if let Some(group) = self.groups.arena.get_mut(attempt.group) {
            group.end(attempt.has_first_byte(), attempt.suspect);
            group.release_tokens(attempt.tokens);
        }
        if let Some(request) = self.requests.get_mut(attempt.request) {
            request.attempts.retain(|it| *it != key);
            if let Some(entry) = self.entries.get_mut(&request.info.entry) {
                entry.running = entry.running.saturating_sub(1);
            }
        }
        Some(attempt)
    }

    /// Ends a failed attempt. Retries the request if that is safe and the retry budget allows it.
    fn fail_attempt(&mut self, now: Moment, key: AttemptKey, failure: Failure) -> Next {
        let is_unsent = matches!(failure, Failure::NotSent | Failure::Withheld);
        let ending = Ending {
            failed: !is_unsent,
            late: failure == Failure::TimedOut,
            // A pause says nothing about the load that the group bears.
            unsent: is_unsent || failure == Failure::NotRun && self.is_paused(now, key),
            tokens: None,
        };
        let Some(attempt) = self.end_attempt_as(key, ending) else {
            return Next::Done;
        };
        let Some(request) = self.requests.get_mut(attempt.request) else {
            return Next::Done;
        };
        request.add_outcome(outcome_of(failure, attempt.has_first_byte()));
        if !is_unsent {
            request.tried.push(attempt.group);
        }
        if failure == Failure::Withheld {
            request.attempts_sent = request.attempts_sent.saturating_sub(1);
        }
        request.needs_fresh_connection |= failure == Failure::TimedOut;
        if !request.attempts.is_empty() {
            return Next::Done;
        }
        match self.retry_denial(now, attempt.request, failure) {
            Some(reason) => self.fail_request(attempt.request, reason),
            None => self.retry(now, attempt.request),
        }
    }

    /// Returns why a request may not be retried. If it may, takes the retry from the budget and
    /// returns `None`.
    fn retry_denial(&mut self, now: Moment, key: RequestKey, failure: Failure) -> Option<Reason> {
        let request = &self.requests[key];
        if let Some(reason) = self.repeat_denial(now, request, failure) {
            if reason == Reason::Crashes {
                let info = &request.info;
                if self.crashes.refused_for(now, info.fingerprint).is_some() {
                    self.crashes.record_refusal(now, info.fingerprint);
                } else {
                    self.crashes.record_part_refusal(&info.parts);
                }
            }
            return Some(reason);
        }
        if failure == Failure::Withheld {
            return None;
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

    /// Returns why a request may not be sent again regardless of the retry budget, or `None`.
    fn repeat_denial(&self, now: Moment, request: &Request, failure: Failure) -> Option<Reason> {
        let repeat = request.info.repeat;
        if !matches!(
            failure,
            Failure::NotSent | Failure::Withheld | Failure::NotRun
        ) && repeat == Repeat::Never
        {
            return Some(Reason::BackendFailed);
        }
        if request.tokens_sent > 0 && repeat != Repeat::Resume {
            return Some(Reason::BrokenAnswer);
        }
        if request.info.deadline <= now {
            return Some(Reason::DeadlinePassed);
        }
        let crashes = &self.crashes;
        let info = &request.info;
        if crashes.refused_for(now, info.fingerprint).is_some()
            || crashes.parts_refused_for(now, &info.parts).is_some()
        {
            return Some(Reason::Crashes);
        }
        let used = request.attempts_sent >= request.info.attempts.unwrap_or(self.settings.attempts);
        (used || !self.takes_work).then_some(Reason::BackendFailed)
    }

    fn retry(&mut self, now: Moment, key: RequestKey) -> Next {
        self.counters.retries += 1;
        if let Some(dispatch) = self.try_dispatch(now, key, false) {
            return Next::Retry(dispatch);
        }
        if let Some(dispatch) = self.use_held_grant(now, key, false) {
            return Next::Retry(dispatch);
        }
        self.withdraw_ask(now, key);
        self.exclude_tried(key);
        if let Some(request) = self.requests.get_mut(key) {
            request.tried.clear();
        }
        let entry = self.requests[key].info.entry;
        match self.requeue(now, key) {
            Some(until) => match self.pause_refusal(now, entry, until) {
                Some(refusal) => {
                    self.dequeue(key);
                    self.fail_paused(key, refusal.retry_after)
                }
                None => Next::Wait(until),
            },
            None => self.fail_request(key, Reason::DeadlinePassed),
        }
    }

    /// Ends a request whose backend servers are all paused. Returns the error for its caller, with
    /// the soonest end of a pause if the request may be sent again.
    fn fail_paused(&mut self, key: RequestKey, wait: Option<Duration>) -> Next {
        match self.fail_request(key, Reason::Paused) {
            Next::Fail(refusal) => Next::Fail(Refusal {
                retry_after: refusal.retry_after.and(wait),
                ..refusal
            }),
            next => next,
        }
    }

    /// Ends a request that can't be retried. Returns the error for its caller.
    fn fail_request(&mut self, key: RequestKey, reason: Reason) -> Next {
        let Some(request) = self.end_unanswered(key) else {
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

    /// Returns the caller's retry delay, or `None` where a retry could run the work twice or the
    /// request crashes backend servers.
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

/// Returns whether an attempt's response shows that the group wrote it to its end.
///
/// A stream must have had a further token. Any other response may be a failure, which is not
/// accepted for a request that may be repeated.
fn is_complete_run(request: &Request, attempt: &Attempt, tokens: Option<u32>) -> bool {
    match tokens {
        Some(tokens) => tokens > attempt.resume_at,
        None => request.info.repeat == Repeat::Whole,
    }
}

/// Returns whether an attempt that failed this way may have run.
const fn outcome_of(failure: Failure, has_first_byte: bool) -> Outcome {
    match (failure, has_first_byte) {
        (Failure::NotSent | Failure::Withheld | Failure::NotRun, _) => Outcome::NotRun,
        (Failure::Broke | Failure::TimedOut, true) => Outcome::Ran,
        (Failure::Broke | Failure::TimedOut, false) => Outcome::Unknown,
    }
}
