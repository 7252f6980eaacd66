//! Dispatch of requests to groups.

use std::cmp::Reverse;
use std::time::Duration;

use tanagerhub_capacity::GRANT;
use tanagerhub_catalogue::Class;
use tanagerhub_clock::Moment;

use super::{Timer, Traffic};
use crate::groups::{Choice, GroupQuery};
use crate::in_flight::{Attempt, Progress, RequestKey};
use crate::{AttemptKey, Dispatch, Repeat};

impl Traffic {
    /// Starts an attempt if a group has room for the request.
    pub(super) fn try_dispatch(
        &mut self,
        now: Moment,
        key: RequestKey,
        hedge: bool,
    ) -> Option<Dispatch> {
        if !self.takes_work {
            return None;
        }
        let suspect = self.is_suspect(now, key);
        let choice = self.choose(now, key, suspect)?;
        let dispatch = self.start(now, key, choice, suspect, hedge);
        self.count_dispatch(key, choice);
        self.schedule_hedge(now, key, dispatch?.attempt);
        dispatch
    }

    /// Chooses the best group for a request, if one has room.
    pub(super) fn choose(&mut self, now: Moment, key: RequestKey, suspect: bool) -> Option<Choice> {
        let request = self.requests.get(key)?;
        let entry = self.entries.get(&request.info.entry)?;
        let query = GroupQuery {
            entry: request.info.entry,
            concurrency_limit: entry.limits.concurrency,
            prefixes: &request.info.prefixes,
            tried: &request.tried,
            suspect,
            usual_first_byte: entry.first_byte.get(),
            // A resumed stream may go to a group whose first bytes come late.
            has_objective: request.info.objective.is_some() && request.tokens_sent == 0,
            borrower: self.capacity.as_ref().map(|it| &it.borrower),
        };
        let live_nodes = self.share.share().nodes;
        self.groups.pick(now, live_nodes, &query, &mut self.random)
    }

    /// Whether the request is suspected of crashing backend servers.
    pub(super) fn is_suspect(&self, now: Moment, key: RequestKey) -> bool {
        let request = self.requests.get(key);
        request.is_some_and(|request| self.crashes.is_suspect(now, request.info.fingerprint))
    }

    /// Whether a part of the request's prompt is to blame for crashes.
    pub(super) fn is_blamed(&self, now: Moment, key: RequestKey) -> bool {
        let request = self.requests.get(key);
        request.is_some_and(|request| {
            let parts = &request.info.parts;
            self.crashes.parts_refused_for(now, parts).is_some()
        })
    }

    #[expect(
        clippy::cast_precision_loss,
        reason = "token counts are far below 2^52"
    )]
    pub(super) fn start(
        &mut self,
        now: Moment,
        key: RequestKey,
        choice: Choice,
        suspect: bool,
        hedge: bool,
    ) -> Option<Dispatch> {
        self.withdraw_ask(now, key);
        let request = self.requests.get_mut(key)?;
        let entry = self.entries.get_mut(&request.info.entry)?;
        let group = self.groups.arena.get_mut(choice.group)?;
        let server = group.route.lifetime();
        group.start(now, suspect);
        let tokens = request.info.total_tokens();
        entry.tokens.observe(tokens as f64);
        group.hold_tokens(now, tokens, entry.tokens.get().unwrap_or_default());
        let limited = self.groups.server_limits.is_limited(server.server);
        self.groups.server_limits.record_start(now, server.server);
        entry.running += 1;
        let attempt = self.attempts.insert(Attempt {
            request: key,
            group: choice.group,
            epoch: group.route.epoch,
            server,
            limited,
            started: now,
            progress: Progress::Nothing,
            first_byte_wait: Duration::ZERO,
            resume_at: request.tokens_sent,
            tokens,
            suspect,
            hedge,
            grant: None,
        });
        request.attempts.push(attempt);
        request.attempts_sent += 1;
        Some(Dispatch {
            attempt,
            request: request.info.id,
            group: group.route.group,
            epoch: group.route.epoch,
            address: group.route.address,
            priority: priority(request.queue_key.class),
            first_byte_deadline: (now + entry.limits.first_byte_timeout).min(request.info.deadline),
            stall: self.settings.stall,
            fresh_connection: request.needs_fresh_connection
                || request.info.repeat == Repeat::Never,
            resume_at: request.tokens_sent,
            hedge,
            send_until: group.route.shared.map(|_| now + GRANT),
        })
    }

    pub(super) fn count_dispatch(&mut self, key: RequestKey, choice: Choice) {
        self.counters.attempts += 1;
        let Some(request) = self.requests.get(key) else {
            return;
        };
        if !request.info.prefixes.is_empty() {
            self.counters.prefix_lookups += 1;
            self.counters.prefix_hits += u64::from(choice.cached_blocks > 0);
        }
        if request.tokens_sent > 0 {
            self.counters.resumed += 1;
        }
    }

    /// Sets a hedge timer for a short request that may be repeated.
    pub(super) fn schedule_hedge(&mut self, now: Moment, key: RequestKey, attempt: AttemptKey) {
        let Some(request) = self.requests.get(key) else {
            return;
        };
        let first = request.attempts.len() == 1 && request.tokens_sent == 0;
        let short = request.info.max_tokens <= self.settings.hedge_tokens;
        if !self.settings.hedges || !first || !short || request.info.repeat == Repeat::Never {
            return;
        }
        let Some(entry) = self.entries.get(&request.info.entry) else {
            return;
        };
        let at = now + entry.hedge_delay(self.settings.hedge_floor);
        self.timers.push(Reverse((at, Timer::Hedge(attempt))));
    }
}

/// Returns the engine's priority for a class; 0 is the most urgent.
const fn priority(class: Class) -> u8 {
    match class {
        Class::Interactive => 0,
        Class::Standard => 1,
        Class::Batch => 2,
    }
}
