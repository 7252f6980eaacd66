//! What a coordinator knows about a node and has yet to tell it.

use std::collections::VecDeque;

use tanagerhub_catalogue::VmId;
use tanagerhub_clock::Moment;

use crate::coordinated_group::CoordinatedGroup;
use crate::load::Load;
use crate::message::{AskId, Grant, RefusedAsk};
use crate::timing::DECIDED;

/// The number of ended processes of a node whose late datagrams are recognised.
const FORMER_BOOTS: usize = 4;

/// A node that has sent requests.
#[derive(Debug)]
pub(crate) struct Peer {
    pub(crate) boot: u64,
    former_boots: VecDeque<u64>,
    /// The number of the newest request.
    pub(crate) number: Option<u64>,
    /// Which of the 64 requests before it were received, as [`Reply::received`](crate::Reply).
    pub(crate) received: u64,
    pub(crate) received_at: Moment,
    pub(crate) last_sent: Option<Moment>,
    /// When the node began to use this coordinator.
    pub(crate) arrived_at: Moment,
    /// The newest reply that told the node of the end of its loans; cleared when it lends again.
    pub(crate) released_at: Option<Moment>,
    /// Whether the node may not have heard of its release yet, so that each reply repeats it.
    pub(crate) repeats_release: bool,
    /// The number of the newest request whose shares were counted.
    pub(crate) counted: u64,
    /// The shares of the node that were released, and when a start may be granted on them again.
    pub(crate) handed_over: Vec<(VmId, Moment)>,
    pub(crate) grants: Vec<Grant>,
    pub(crate) refusals: Vec<RefusedAsk>,
    decided: VecDeque<(Moment, AskId, Decision)>,
}

/// What was decided on an ask: the group with the load of the request, or the refusal.
#[derive(Debug, Clone, Copy)]
pub(crate) enum Decision {
    Granted(CoordinatedGroup, Load),
    Refused(RefusedAsk),
}

impl Peer {
    pub(crate) const fn new(now: Moment, boot: u64) -> Self {
        Self {
            boot,
            former_boots: VecDeque::new(),
            number: None,
            received: 0,
            received_at: now,
            last_sent: None,
            arrived_at: now,
            released_at: None,
            repeats_release: false,
            counted: 0,
            handed_over: Vec::new(),
            grants: Vec::new(),
            refusals: Vec::new(),
            decided: VecDeque::new(),
        }
    }

    /// Returns the peer after its process has restarted.
    pub(crate) fn restarted(mut self, now: Moment, boot: u64) -> Self {
        self.former_boots.push_back(self.boot);
        if self.former_boots.len() > FORMER_BOOTS {
            self.former_boots.pop_front();
        }
        Self {
            former_boots: self.former_boots,
            last_sent: self.last_sent,
            released_at: self.released_at,
            ..Self::new(now, boot)
        }
    }

    /// Returns whether a process of the node with this boot id has ended.
    pub(crate) fn has_ended(&self, boot: u64) -> bool {
        self.former_boots.contains(&boot)
    }

    /// Records a request; returns whether it is newer than all others.
    pub(crate) fn record_number(&mut self, number: u64) -> bool {
        let newest = self.number.unwrap_or_default();
        if self.number.is_some() && number <= newest {
            self.received |= bit(newest - number);
            return false;
        }
        let step = number - newest;
        let former = u32::try_from(step).ok();
        let former = former.and_then(|step| self.received.checked_shl(step));
        if self.number.is_some() {
            self.received = former.unwrap_or_default() | bit(step);
        }
        self.number = Some(number);
        true
    }

    /// Keeps a decision for some time, in case the ask arrives again.
    pub(crate) fn keep(&mut self, now: Moment, ask: AskId, decision: Decision) {
        self.forget_decided(now);
        self.decided.push_back((now, ask, decision));
    }

    /// Returns what was recently decided on an ask.
    pub(crate) fn decision(&mut self, now: Moment, ask: AskId) -> Option<Decision> {
        self.forget_decided(now);
        self.decided
            .iter()
            .find(|&&(_, id, _)| id == ask)
            .map(|&(.., decision)| decision)
    }

    fn forget_decided(&mut self, now: Moment) {
        while self
            .decided
            .front()
            .is_some_and(|&(at, ..)| now.since(at) > DECIDED)
        {
            self.decided.pop_front();
        }
    }
}

/// Returns the bit of a request that is so many numbers before the newest one.
const fn bit(before: u64) -> u64 {
    if before == 0 || before > 64 {
        0
    } else {
        1 << (before - 1)
    }
}
