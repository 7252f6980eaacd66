//! Takeover of a request by another group while its own group is silent.

use tanagerhub_clock::Moment;

use super::Traffic;
use crate::{AttemptKey, Dispatch};

impl Traffic {
    /// Starts a second attempt at another group for a request whose only attempt receives nothing.
    ///
    /// A silent backend server may be sound and go on, so its attempt continues. If the new attempt
    /// responds first, report [`AttemptEvent::Silent`](crate::AttemptEvent::Silent) for the silent
    /// one; if the silent one goes on, call [`cancel_others`](Self::cancel_others).
    ///
    /// Where coordinators grant starts, a call may ask for one that a later call uses.
    ///
    /// `tokens` is the number of tokens sent to the caller. Returns `None` if the request may not
    /// be sent again or no other group has room for it now.
    pub fn take_over(&mut self, now: Moment, silent: AttemptKey, tokens: u32) -> Option<Dispatch> {
        self.record_time(now);
        let (key, group) = self
            .attempts
            .get(silent)
            .map(|attempt| (attempt.request, attempt.group))?;
        let request = self.requests.get_mut(key)?;
        request.tokens_sent = request.tokens_sent.max(tokens);
        if request.attempts.len() > 1 || !self.may_repeat(now, silent) {
            return None;
        }
        let request = self.requests.get_mut(key)?;
        let entry = request.info.entry;
        request.tried.push(group);
        request.needs_fresh_connection = true;
        let dispatch = self
            .try_dispatch(now, key, false)
            .or_else(|| self.use_grant(now, key, false));
        self.requests.get_mut(key)?.tried.pop();
        let dispatch = dispatch?;
        if let Some(entry) = self.entries.get_mut(&entry) {
            entry.budget.withdraw();
        }
        self.counters.retries += 1;
        Some(dispatch)
    }

    /// Ends the other attempts of an attempt's request, with no effect on their groups. The edge
    /// must cancel them.
    pub fn cancel_others(&mut self, attempt: AttemptKey) {
        let Some(request) = self.attempts.get(attempt).map(|attempt| attempt.request) else {
            return;
        };
        let attempts = self.requests.get(request).map(|it| it.attempts.clone());
        for other in attempts.unwrap_or_default() {
            if other != attempt {
                self.end_attempt(other);
            }
        }
    }
}
