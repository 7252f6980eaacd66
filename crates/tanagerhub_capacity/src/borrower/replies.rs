//! Handles the replies of coordinators.

use std::time::Duration;

use tanagerhub_clock::Moment;

use super::answer::Answer;
use super::link::Acceptance;
use super::pending::own_id;
use super::{Borrower, UsedGrant, log_choice};
use crate::message::{AskId, Grant, RefusalReason, RefusedAsk, Reply};
use crate::shard::Shard;
use crate::timing::GRANT;

/// Wait left from which on a refused ask goes to another shard.
const MIN_WAIT: Duration = Duration::from_millis(20);
/// Time after which a coordinator that was not ready is asked again.
const NOT_READY_PERIOD: Duration = Duration::from_millis(100);

impl Borrower {
    /// Handles a reply and returns the decisions that follow from it.
    pub fn receive(&mut self, now: Moment, reply: &Reply) -> Vec<Answer> {
        self.notice_pause(now);
        let acceptance = match self.links.get_mut(&reply.shard) {
            Some(link) if reply.to == self.boot => link.accept(now, reply),
            _ => Acceptance::Ignored,
        };
        match acceptance {
            Acceptance::Ignored => {
                self.counters.ignored += 1;
                return Vec::new();
            }
            Acceptance::Known => {}
            Acceptance::New => self.start_process(reply),
        }
        for ask in self.asks.values_mut() {
            if ask.shard == Some(reply.shard) {
                ask.record_answer(now, reply);
            }
        }
        self.apply_grants(now, reply);
        for refusal in &reply.refusals {
            self.apply_refusal(now, reply.shard, *refusal);
        }
        self.apply_release(now, reply);
        std::mem::take(&mut self.answers)
    }

    /// Handles the first reply of a process: asks sent to a former one are lost, but not those that
    /// the reply answers.
    fn start_process(&mut self, reply: &Reply) {
        log::info!(
            shard:% = reply.shard, node:% = reply.node, boot = reply.sent.boot;
            "a coordinator answers"
        );
        for ask in self.asks.values_mut() {
            if ask.shard == Some(reply.shard) && ask.is_answered() {
                ask.renew(Some(reply.shard));
            }
        }
    }

    fn apply_grants(&mut self, now: Moment, reply: &Reply) {
        if reply.grants.is_empty() {
            return;
        }
        let link = self.links.get(&reply.shard);
        let age = link.and_then(|link| link.max_age(now, reply));
        for grant in &reply.grants {
            self.apply_grant(now, reply.shard, *grant, age);
        }
    }

    /// Passes a grant on if its ask waits and it is new enough; otherwise it is reported as unused,
    /// except for the copy of a grant that was passed on before.
    fn apply_grant(&mut self, now: Moment, shard: Shard, grant: Grant, age: Option<Duration>) {
        let id = own_id(grant.ask);
        if self.used.get(&id).is_some_and(|it| it.wire == grant.ask) {
            return;
        }
        let left = age.and_then(|age| GRANT.checked_sub(age));
        let waits = self
            .asks
            .get(&id)
            .is_some_and(|ask| ask.shard == Some(shard) && ask.wire_id(self.boot) == grant.ask);
        let (true, Some(left)) = (waits, left.filter(|left| !left.is_zero())) else {
            self.counters.unused += 1;
            self.counters.too_old += u64::from(waits);
            self.cancel_at(now, shard, grant.ask);
            if let Some(ask) = self.asks.get_mut(&id).filter(|_| waits) {
                ask.renew(Some(shard));
            }
            return;
        };
        self.asks.remove(&id);
        self.counters.grants += 1;
        let wire = grant.ask;
        self.used.insert(
            id,
            UsedGrant {
                wire,
                shard,
                at: now,
            },
        );
        self.answers.push(Answer::Granted {
            ask: id,
            group: grant.group,
            epoch: grant.epoch,
            until: now + left,
        });
    }

    fn apply_refusal(&mut self, now: Moment, shard: Shard, refusal: RefusedAsk) {
        let id = own_id(refusal.ask);
        let Some(ask) = self.asks.get_mut(&id) else {
            return;
        };
        if ask.shard != Some(shard) || ask.wire_id(self.boot) != refusal.ask {
            return;
        }
        let retry_after = Duration::from_millis(u64::from(refusal.retry_ms));
        if ask.refusal.is_none_or(|(reason, _)| is_provisional(reason)) {
            ask.refusal = Some((refusal.reason, retry_after));
        }
        ask.tried.push(shard);
        let in_time = refusal.reason != RefusalReason::TimedOut && ask.until.since(now) >= MIN_WAIT;
        let next = if in_time {
            self.next_shard(now, id)
        } else {
            None
        };
        match next {
            Some(next) => self.move_ask(id, next),
            None if in_time => self.refuse_or_postpone(now, id, shard),
            None => self.refuse(id),
        }
    }

    /// Refuses an ask unless the shards were only not ready to decide.
    fn refuse_or_postpone(&mut self, now: Moment, id: AskId, shard: Shard) {
        let Some(ask) = self.asks.get_mut(&id) else {
            return;
        };
        match ask.refusal {
            Some((RefusalReason::NotReady, _)) => ask.postpone(shard, now + NOT_READY_PERIOD),
            _ => self.refuse(id),
        }
    }

    pub(super) fn refuse(&mut self, id: AskId) {
        let Some(ask) = self.asks.remove(&id) else {
            return;
        };
        let Some((reason, retry_after)) = ask.refusal else {
            return;
        };
        self.counters.refusals += 1;
        self.answers.push(Answer::Refused {
            ask: id,
            reason,
            retry_after,
        });
    }

    fn apply_release(&mut self, now: Moment, reply: &Reply) {
        let Some(released) = &reply.released else {
            return;
        };
        let next = released.next;
        self.shares.release(now, reply.shard, reply.sent, released);
        let Some(link) = self.links.get_mut(&reply.shard) else {
            return;
        };
        // A late release, after which the process has answered again, doesn't end the link.
        if link.heard().is_some_and(|it| it.heard > reply.sent) {
            return;
        }
        self.counters.released += 1;
        let before = link.coordinator();
        if link.follow(now, next) {
            log_choice(reply.shard, before, link.coordinator());
            self.renew_asks(reply.shard);
        }
    }
}

/// Whether the refusal by one shard gives way to one by another, because it says nothing about the
/// load.
const fn is_provisional(reason: RefusalReason) -> bool {
    matches!(reason, RefusalReason::NoGroup | RefusalReason::NotReady)
}
