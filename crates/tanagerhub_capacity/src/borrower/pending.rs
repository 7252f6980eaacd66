//! Asks that are not decided yet.

use std::time::Duration;

use tanagerhub_clock::Moment;

use crate::message::{Ask, AskId, RefusalReason, Reply};
use crate::shard::Shard;

/// Time after which an ask that no reply answers goes to another shard, or is sent again.
const ASK_TIMEOUT: Duration = Duration::from_millis(100);
/// Time after which a waiting ask is replaced by a new one, in case the reply with its grant was
/// lost.
const RENEWAL_PERIOD: Duration = Duration::from_millis(300);

/// Maximum number of excluded groups, so that an ask fits into a datagram.
const MAX_EXCLUDED: usize = 8;

/// Bits of an ask's id on the wire that the caller of the borrower chooses.
const OWN_BITS: u32 = 40;
/// Bits of the id that come from the boot id, so that replies to a former process match no ask.
const BOOT_BITS: u32 = 16;

/// An ask and where it is.
#[derive(Debug)]
pub(super) struct PendingAsk {
    pub(super) ask: Ask,
    /// The moment until which it may wait.
    pub(super) until: Moment,
    /// The objective of its first event, if it has one.
    objective_at: Option<Moment>,
    /// The shard that it is sent to; `None` if no shard is known.
    pub(super) shard: Option<Shard>,
    /// Shards that refused it or left it unanswered.
    pub(super) tried: Vec<Shard>,
    /// The first refusal.
    pub(super) refusal: Option<(RefusalReason, Duration)>,
    /// Counts the ids that the ask had before.
    renewals: u8,
    /// Numbers of the requests that carried it under its present id.
    numbers: Vec<u64>,
    sent_at: Option<Moment>,
    answered_at: Option<Moment>,
    /// When it may be sent; later than at once if its shard was not ready.
    due_at: Moment,
}

impl PendingAsk {
    pub(super) fn new(now: Moment, mut ask: Ask) -> Self {
        ask.excluded.truncate(MAX_EXCLUDED);
        Self {
            until: now + ask.wait(),
            objective_at: ask.objective().map(|left| now + left),
            ask,
            shard: None,
            tried: Vec::new(),
            refusal: None,
            renewals: 0,
            numbers: Vec::new(),
            sent_at: None,
            answered_at: None,
            due_at: Moment::ZERO,
        }
    }

    /// Returns the id on the wire. It is unique among processes and changes when the ask goes
    /// elsewhere, so that a grant of its earlier id, which was cancelled, is not used.
    pub(super) fn wire_id(&self, boot: u64) -> AskId {
        let boot = (boot ^ (boot >> 32) ^ (boot >> BOOT_BITS)) & ((1 << BOOT_BITS) - 1);
        let own = self.ask.id.0 & ((1 << OWN_BITS) - 1);
        AskId((u64::from(self.renewals) << (OWN_BITS + BOOT_BITS)) | (boot << OWN_BITS) | own)
    }

    /// Returns the ask as it is sent now.
    pub(super) fn message(&self, now: Moment, boot: u64) -> Ask {
        let millis = |until: Moment| u32::try_from(until.since(now).as_millis());
        Ask {
            id: self.wire_id(boot),
            wait_ms: millis(self.until).unwrap_or(u32::MAX),
            objective_ms: self.objective_at.map_or(Ask::NO_OBJECTIVE, |at| {
                millis(at).unwrap_or(Ask::NO_OBJECTIVE)
            }),
            ..self.ask.clone()
        }
    }

    /// Sends the ask to a shard under a new id.
    pub(super) fn renew(&mut self, shard: Option<Shard>) {
        self.shard = shard;
        self.renewals = self.renewals.wrapping_add(1);
        self.numbers.clear();
        self.sent_at = None;
        self.answered_at = None;
        self.due_at = Moment::ZERO;
    }

    /// Asks again later, because no shard was ready.
    pub(super) fn postpone(&mut self, shard: Shard, due_at: Moment) {
        self.renew(Some(shard));
        self.tried.clear();
        self.due_at = due_at;
    }

    /// Whether a shard that could decide has refused the ask.
    pub(super) fn is_refused(&self) -> bool {
        self.refusal
            .is_some_and(|(reason, _)| reason != RefusalReason::NotReady)
    }

    pub(super) fn record_sent(&mut self, now: Moment, number: u64) {
        self.numbers.push(number);
        self.sent_at = Some(now);
    }

    pub(super) fn record_answer(&mut self, now: Moment, reply: &Reply) {
        if self
            .numbers
            .iter()
            .any(|number| reply.has_received(*number))
        {
            self.answered_at.get_or_insert(now);
        }
    }

    pub(super) const fn is_answered(&self) -> bool {
        self.answered_at.is_some()
    }

    /// Whether a request that is sent now must carry it.
    pub(super) fn is_open(&self, now: Moment) -> bool {
        !self.is_answered() && self.due_at <= now
    }

    /// Whether it was sent under its present id.
    pub(super) const fn is_sent(&self) -> bool {
        self.sent_at.is_some()
    }

    /// Whether a request must be sent for it now.
    pub(super) fn is_due(&self, now: Moment) -> bool {
        match self.sent_at {
            None => self.due_at <= now,
            Some(_) => self.is_unanswered(now),
        }
    }

    /// Whether it was sent and no reply answers it in time.
    pub(super) fn is_unanswered(&self, now: Moment) -> bool {
        let late = self.sent_at.is_some_and(|at| now.since(at) >= ASK_TIMEOUT);
        !self.is_answered() && late
    }

    /// Whether it has waited so long that its grant may have been lost.
    pub(super) fn is_stale(&self, now: Moment) -> bool {
        self.answered_at
            .is_some_and(|at| now.since(at) >= RENEWAL_PERIOD)
    }

    /// Returns when the ask needs something, if no reply is received before.
    pub(super) fn next_wakeup(&self) -> Moment {
        let next = match (self.sent_at, self.answered_at) {
            (_, Some(at)) => at + RENEWAL_PERIOD,
            (Some(at), None) => at + ASK_TIMEOUT,
            (None, None) if self.shard.is_some() => self.due_at,
            (None, None) => self.until,
        };
        next.min(self.until)
    }
}

/// Returns the caller's id of an ask from its id on the wire.
pub(super) const fn own_id(wire: AskId) -> AskId {
    AskId(wire.0 & ((1 << OWN_BITS) - 1))
}
