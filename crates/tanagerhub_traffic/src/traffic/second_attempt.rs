//! Attempts beside another one that coordinators grant.

use std::time::Duration;

use tanagerhub_clock::Moment;

use super::Traffic;
use crate::in_flight::RequestKey;
use crate::shared_ask::HeldGrant;
use crate::{AttemptKey, Decision, Dispatch};

/// How long an attempt beside another one may wait at a coordinator. It is asked for again as long
/// as it is wanted.
const ASK_WAIT: Duration = Duration::from_millis(300);

impl Traffic {
    /// Whether an attempt's request has asked for a further attempt, or holds a grant for it.
    ///
    /// A grant lasts at most [`GRANT`](tanagerhub_capacity::GRANT), so the caller then calls
    /// [`may_move`](Self::may_move) or [`take_over`](Self::take_over) again within a fraction of
    /// it.
    #[must_use]
    pub fn awaits_grant(&self, attempt: AttemptKey) -> bool {
        let request = self.attempts.get(attempt).map(|attempt| attempt.request);
        let request = request.and_then(|key| self.requests.get(key));
        request.is_some_and(|it| it.shared.id.is_some() || it.shared.grant.is_some())
    }

    /// Uses the grant that a request holds for a further attempt.
    ///
    /// Without a grant, asks for one, so that a later call finds it. The ask
    /// excludes the groups that were tried.
    pub(super) fn use_grant(
        &mut self,
        now: Moment,
        key: RequestKey,
        hedge: bool,
    ) -> Option<Dispatch> {
        if self.require_grant(now, key) {
            self.use_held_grant(now, key, hedge)
        } else {
            None
        }
    }

    /// Uses the grant that a request holds, if it can be used now.
    pub(super) fn use_held_grant(
        &mut self,
        now: Moment,
        key: RequestKey,
        hedge: bool,
    ) -> Option<Dispatch> {
        let grant = self.requests.get(key)?.shared.grant?;
        let group = self.usable_group(now, key, grant)?;
        self.requests.get_mut(key)?.shared.grant = None;
        self.capacity.as_mut()?.held.retain(|(it, _)| *it != key);
        self.start_granted(now, key, group, grant, hedge)
    }

    /// Whether a request holds a grant that it may use now; asks for one otherwise.
    pub(super) fn require_grant(&mut self, now: Moment, key: RequestKey) -> bool {
        let Some(request) = self.requests.get(key) else {
            return false;
        };
        if !self.is_coordinated(request.info.entry) {
            return false;
        }
        if let Some(grant) = request.shared.grant {
            if self.usable_group(now, key, grant).is_some() {
                return true;
            }
            self.withdraw_ask(now, key);
        }
        self.ask_beside(now, key);
        false
    }

    /// Asks for a hedge, which starts as soon as it is granted.
    pub(super) fn ask_hedge(&mut self, now: Moment, key: RequestKey) {
        self.ask_beside(now, key);
        if let Some(request) = self.requests.get_mut(key) {
            request.shared.hedge = request.shared.id.is_some();
        }
    }

    fn ask_beside(&mut self, now: Moment, key: RequestKey) {
        let Some(request) = self.requests.get(key) else {
            return;
        };
        if request.shared.id.is_some() || now < request.shared.not_before {
            return;
        }
        let wait = ASK_WAIT.min(request.info.deadline.since(now));
        self.exclude_tried(key);
        self.ask(now, key, wait);
    }

    /// Keeps a grant until the next call uses it. A hedge starts at once.
    pub(super) fn hold_grant(&mut self, now: Moment, key: RequestKey, grant: HeldGrant) {
        let Some(request) = self.requests.get_mut(key) else {
            return;
        };
        let hedge = std::mem::take(&mut request.shared.hedge);
        let id = request.info.id;
        request.shared.grant = Some(grant);
        if let Some(capacity) = &mut self.capacity {
            capacity.held.push((key, grant.until));
        }
        if !hedge {
            return;
        }
        match self.use_grant(now, key, true) {
            Some(dispatch) => {
                self.counters.hedges += 1;
                self.ready.push((id, Decision::Dispatch(dispatch)));
            }
            None => self.withdraw_ask(now, key),
        }
    }

    /// Withdraws the ask for a further attempt, because the running one goes on.
    pub(super) fn withdraw_further(&mut self, now: Moment, key: RequestKey) {
        let asks = self.requests.get(key).is_some_and(|request| {
            let shared = &request.shared;
            request.queue_number.is_none() && (shared.id.is_some() || shared.grant.is_some())
        });
        if asks {
            self.withdraw_ask(now, key);
        }
    }

    /// Returns grants that were not used in time.
    pub(super) fn drop_old_grants(&mut self, now: Moment) {
        let Some(capacity) = &self.capacity else {
            return;
        };
        let old: Vec<RequestKey> = capacity
            .held
            .iter()
            .filter(|(_, until)| *until <= now)
            .map(|(key, _)| *key)
            .collect();
        for key in old {
            self.withdraw_ask(now, key);
        }
    }
}
