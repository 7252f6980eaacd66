//! The link to the coordinator of one shard.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use tanagerhub_catalogue::{EntryId, NodeId};
use tanagerhub_clock::Moment;

use super::clock_bound::ClockBound;
use crate::message::{AskId, EntryLoad, FirstByte, Heard, Reply, Sample};
use crate::shard::Shard;
use crate::timing::{LOAN, REPLY_INTERVAL};

/// Period of the requests to a coordinator that has nothing to be asked.
const HEARTBEAT: Duration = Duration::from_millis(400);
/// Time after which a request counts as unanswered.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(150);
/// Consecutive unanswered requests after which a coordinator is skipped.
const MAX_UNANSWERED: usize = 2;
/// How long such a coordinator is skipped.
const SKIP_DURATION: Duration = Duration::from_secs(3);
/// Allowance for replies that took longer than others: a request without asks is answered at once
/// if the last reply was received [`REPLY_INTERVAL`] and this time before.
const REPLY_SLACK: Duration = Duration::from_millis(20);
/// Maximum delay of samples and cancellations, which are sent together.
const BATCH_DELAY: Duration = Duration::from_millis(20);
/// Age at which a reported load is no longer used.
const LOAD_MAX_AGE: Duration = Duration::from_secs(1);
/// How long a coordinator that is no candidate any more is kept without a reply: it may be about to
/// release its loans.
const FORMER_CANDIDATE_TIMEOUT: Duration = Duration::from_millis(600);
/// Number of sent requests whose times are kept, by which round trips are measured.
const MAX_SENT: usize = 64;
/// Number of replaced processes whose late replies are ignored.
const MAX_FORMER_BOOTS: usize = 8;
/// Maximum number of samples, and of first bytes, that wait to be sent.
const MAX_SAMPLES: usize = 256;

/// A reply and when it was received.
#[derive(Debug, Clone, Copy)]
pub(super) struct Received {
    pub(super) heard: Heard,
    pub(super) at: Moment,
}

/// What a reply means for the link.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Acceptance {
    /// It is from another node than the coordinator in use, or from a replaced process.
    Ignored,
    /// It is from the process in use.
    Known,
    /// It is the first one of a process.
    New,
}

#[derive(Debug, Clone, Copy)]
struct SentRequest {
    number: u64,
    at: Moment,
    /// Whether the coordinator answers it at once.
    expects_answer: bool,
}

/// The coordinator in use, and what is to be sent to it.
#[derive(Debug, Default)]
pub(super) struct Link {
    candidates: Vec<NodeId>,
    skipped: BTreeMap<NodeId, Moment>,
    coordinator: Option<NodeId>,
    heard: Option<Received>,
    former_boots: VecDeque<u64>,
    bound: ClockBound,
    sent: VecDeque<SentRequest>,
    answered: u64,
    last_reply: Option<Moment>,
    last_sent: Option<Moment>,
    /// Whether a request is due at once.
    pub(super) due: bool,
    batch_due: Option<Moment>,
    pub(super) samples: VecDeque<Sample>,
    pub(super) first_bytes: VecDeque<FirstByte>,
    pub(super) cancelled: VecDeque<AskId>,
    load: Vec<EntryLoad>,
    load_at: Moment,
}

impl Link {
    pub(super) const fn coordinator(&self) -> Option<NodeId> {
        self.coordinator
    }

    /// Whether asks can be sent now.
    pub(super) const fn has_coordinator(&self) -> bool {
        self.coordinator.is_some()
    }

    pub(super) const fn heard(&self) -> Option<Received> {
        self.heard
    }

    pub(super) fn set_candidates(&mut self, candidates: &[NodeId]) {
        self.candidates = candidates.to_vec();
    }

    /// Whether a coordinator has replied recently enough to hold loans.
    pub(super) fn is_live(&self, now: Moment) -> bool {
        self.heard.is_some_and(|reply| now.since(reply.at) < LOAN)
    }

    /// Chooses a coordinator if there is none, or if the one in use doesn't answer. Returns whether
    /// it changed.
    pub(super) fn choose(&mut self, now: Moment) -> bool {
        self.skipped.retain(|_, until| *until > now);
        if let Some(node) = self.coordinator {
            if self.count_timed_out(now) >= MAX_UNANSWERED {
                self.skipped.insert(node, now + SKIP_DURATION);
            } else if self.candidates.contains(&node) || self.is_recent(now) {
                return false;
            }
        }
        let next = self.first_candidate();
        self.replace(next)
    }

    /// Follows the release by the coordinator in use, unless no other node may answer. Returns
    /// whether it changed.
    pub(super) fn follow(&mut self, now: Moment, next: Option<NodeId>) -> bool {
        let other =
            |node: &&NodeId| Some(**node) != self.coordinator && !self.skipped.contains_key(*node);
        let mut others = self.candidates.iter().filter(other).copied();
        let named = others.clone().find(|node| Some(*node) == next);
        let Some(next) = named.or_else(|| others.next()) else {
            return false;
        };
        if let Some(node) = self.coordinator {
            self.skipped.insert(node, now + SKIP_DURATION);
        }
        self.replace(Some(next))
    }

    fn first_candidate(&self) -> Option<NodeId> {
        let mut candidates = self.candidates.iter();
        candidates
            .find(|node| !self.skipped.contains_key(*node))
            .copied()
    }

    fn replace(&mut self, next: Option<NodeId>) -> bool {
        if self.coordinator == next {
            return false;
        }
        self.coordinator = next;
        self.forget_process();
        self.last_sent = None;
        self.last_reply = None;
        self.cancelled.clear();
        self.first_bytes.clear();
        self.due = next.is_some();
        true
    }

    fn forget_process(&mut self) {
        if let Some(reply) = self.heard.take() {
            if self.former_boots.len() >= MAX_FORMER_BOOTS {
                self.former_boots.pop_front();
            }
            self.former_boots.push_back(reply.heard.boot);
        }
        self.bound = ClockBound::default();
        self.sent.clear();
        self.load.clear();
    }

    fn is_recent(&self, now: Moment) -> bool {
        self.last_reply
            .is_some_and(|at| now.since(at) < FORMER_CANDIDATE_TIMEOUT)
    }

    /// Returns the requests that the coordinator should have answered at once and has not.
    fn unanswered(&self) -> impl Iterator<Item = &SentRequest> {
        self.sent
            .iter()
            .filter(|sent| sent.expects_answer && sent.number > self.answered)
    }

    fn count_timed_out(&self, now: Moment) -> usize {
        self.unanswered()
            .filter(|sent| now.since(sent.at) >= ANSWER_TIMEOUT)
            .count()
    }

    /// Forgets which requests are unanswered, because this node was paused itself.
    pub(super) fn resume(&mut self) {
        for sent in &mut self.sent {
            sent.expects_answer = false;
        }
    }

    /// Records a reply: its process, the clock bound and the load.
    pub(super) fn accept(&mut self, now: Moment, reply: &Reply) -> Acceptance {
        let boot = reply.sent.boot;
        if self.coordinator != Some(reply.node) {
            return Acceptance::Ignored;
        }
        let known = self.heard.is_some_and(|it| it.heard.boot == boot);
        if !known {
            // A node that was skipped or replaced may serve again with the same process.
            let late = self.heard.is_some() && self.former_boots.contains(&boot);
            let sent = self.sent.iter().any(|it| it.number == reply.answers);
            if late || !sent {
                return Acceptance::Ignored;
            }
            let sent = std::mem::take(&mut self.sent);
            self.forget_process();
            self.sent = sent;
            self.due = true;
        }
        if let Some(sent) = self.sent.iter().find(|it| it.number == reply.answers) {
            let round_trip = now.since(sent.at);
            self.bound.record(now, reply.sent.moment(), round_trip);
        }
        self.answered = self.answered.max(reply.answers);
        self.last_reply = Some(now);
        self.keep_newest(now, reply);
        if known {
            Acceptance::Known
        } else {
            Acceptance::New
        }
    }

    /// Keeps the time and the load of a reply unless a newer one was received.
    fn keep_newest(&mut self, now: Moment, reply: &Reply) {
        let is_newest = self
            .heard
            .is_none_or(|it| it.heard.sent_at < reply.sent.sent_at);
        if is_newest {
            self.heard = Some(Received {
                heard: reply.sent,
                at: now,
            });
            self.load.clone_from(&reply.load);
            self.load_at = now;
        }
    }

    /// Returns the maximum age of a reply that is received now.
    pub(super) fn max_age(&self, now: Moment, reply: &Reply) -> Option<Duration> {
        self.bound.max_age(now, reply.sent.moment())
    }

    /// Returns the requests and waiting asks of an entry per request of its limit; `None` if that
    /// is not known now.
    pub(super) fn utilisation(&self, now: Moment, entry: EntryId) -> Option<f64> {
        let known = now.since(self.load_at) <= LOAD_MAX_AGE;
        let load = self.load.iter().find(|load| load.entry == entry)?;
        let used = f64::from(load.running) + f64::from(load.waiting);
        (known && load.limit > 0).then(|| used / f64::from(load.limit))
    }

    /// Returns the last reported load of each entry; `None` if it is older than a second.
    pub(super) fn entry_loads(&self, now: Moment) -> Option<&[EntryLoad]> {
        let known = self.heard.is_some() && now.since(self.load_at) <= LOAD_MAX_AGE;
        known.then_some(&*self.load)
    }

    pub(super) fn record_sample(&mut self, now: Moment, sample: Sample) {
        if self.samples.len() >= MAX_SAMPLES {
            self.samples.pop_front();
        }
        self.samples.push_back(sample);
        self.schedule_batch(now);
    }

    /// Reports the running requests soon, because one of them got its first byte.
    pub(super) fn record_first_byte(&mut self, now: Moment, first_byte: Option<FirstByte>) {
        if self.first_bytes.len() >= MAX_SAMPLES {
            self.first_bytes.pop_front();
        }
        self.first_bytes.extend(first_byte);
        self.schedule_batch(now);
    }

    pub(super) fn cancel(&mut self, now: Moment, id: AskId) {
        if !self.cancelled.contains(&id) {
            self.cancelled.push_back(id);
        }
        self.schedule_batch(now);
    }

    fn schedule_batch(&mut self, now: Moment) {
        self.batch_due.get_or_insert(now + BATCH_DELAY);
    }

    /// Returns when the next request is due that carries no new ask.
    pub(super) fn next_request(&self) -> Option<Moment> {
        self.coordinator?;
        if self.due {
            return Some(Moment::ZERO);
        }
        let heartbeat = self.last_sent.map_or(Moment::ZERO, |at| at + HEARTBEAT);
        let repeat = self.unanswered().map(|sent| sent.at + ANSWER_TIMEOUT).max();
        [Some(heartbeat), repeat, self.batch_due]
            .into_iter()
            .flatten()
            .min()
    }

    /// Returns when [`choose`](Self::choose) may have another result.
    pub(super) fn next_choice(&self) -> Option<Moment> {
        if self.coordinator.is_none() {
            return self.skipped.values().min().copied();
        }
        let due = |sent: &SentRequest| sent.at + ANSWER_TIMEOUT;
        self.unanswered().nth(MAX_UNANSWERED - 1).map(due)
    }

    /// Records a request that is sent now.
    pub(super) fn record_sent(&mut self, now: Moment, number: u64, has_asks: bool) {
        let idle = self
            .last_reply
            .is_none_or(|at| now.since(at) >= REPLY_INTERVAL + REPLY_SLACK);
        if self.sent.len() >= MAX_SENT {
            self.sent.pop_front();
        }
        self.sent.push_back(SentRequest {
            number,
            at: now,
            expects_answer: has_asks || idle,
        });
        self.last_sent = Some(now);
        self.due = false;
        if self.samples.is_empty() && self.first_bytes.is_empty() && self.cancelled.is_empty() {
            self.batch_due = None;
        }
    }

    /// Returns the coordinators that are skipped.
    pub(super) fn skipped(&self) -> impl Iterator<Item = NodeId> {
        self.skipped.keys().copied()
    }
}

/// The links by shard.
pub(super) type Links = BTreeMap<Shard, Link>;
