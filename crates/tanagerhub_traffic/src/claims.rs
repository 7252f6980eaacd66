//! At most once: claims on idempotency keys.
//!
//! A claim is a row of the platform's table. It is committed before the request is sent to a back
//! end, and the outcome is recorded in it afterwards, so that a second try at any node finds it.

mod claim;
mod claim_row;
mod judge;
mod writes;

use std::collections::{BTreeMap, HashMap, HashSet};
use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde::Serialize;
use tanagerhub_catalogue::{BootId, RequestId};
use tanagerhub_clock::Moment;
use tanagerhub_table::{RowKey, Transaction, TransactionId};

use claim::Claim;
use writes::Batch;

pub use claim_row::{CLAIM_PREFIX, ClaimResult, ClaimRow, RecordedAnswer, claim_key};

use crate::Outcome;

/// Settings of [`Claims`].
#[derive(Debug, Clone)]
pub struct ClaimSettings {
    /// This start of the node.
    pub boot: BootId,
    /// Claims and outcomes written by one transaction at most.
    pub batch: usize,
    /// Transactions on their way at once.
    pub commits: usize,
    /// The largest answer that is recorded, in bytes.
    pub answer_limit: usize,
    /// How long a claim is kept, in seconds of wall time.
    pub lifetime_s: u64,
    /// Claims held in memory at most.
    pub capacity: usize,
}

impl ClaimSettings {
    /// The usual settings, for this start of the node.
    #[must_use]
    pub const fn new(boot: BootId) -> Self {
        Self {
            boot,
            batch: 32,
            commits: 2,
            answer_limit: 16 * 1024,
            lifetime_s: 24 * 60 * 60,
            capacity: 20_000,
        }
    }
}

/// A request that asks for a claim.
#[derive(Debug, Clone)]
pub struct ClaimRequest {
    /// The request.
    pub request: RequestId,
    /// The row, from [`claim_key`].
    pub key: RowKey,
    /// Hash of the request's method, path and body.
    pub body: u64,
    /// Whether the service removes duplicates itself, so that the store may be down.
    pub deduplicates: bool,
    /// When the caller is told `not-run` if the claim is not certain by then.
    pub give_up: Moment,
}

/// What the edge does for claims.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ClaimAction {
    /// Commit this, and call [`Claims::committed`].
    Commit(Transaction),
    /// Read these rows, and call [`Claims::read`].
    Read {
        /// Names the read.
        read: TransactionId,
        /// The rows.
        keys: Vec<RowKey>,
    },
    /// Answer or dispatch this request.
    Answer {
        /// The request.
        request: RequestId,
        /// What to do with it.
        answer: ClaimAnswer,
    },
}

/// What to do with a request that asked for a claim.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ClaimAnswer {
    /// It holds the claim: submit it, and call [`Claims::finish`] at its end.
    Granted,
    /// The store is down, but the service removes duplicates itself: submit it.
    Unclaimed,
    /// An earlier try had this answer: send it to the caller.
    Replay(RecordedAnswer),
    /// An earlier try ended so and left no answer.
    Ended(Outcome),
    /// An earlier try still runs (409).
    InProgress,
    /// The key was used with another request (422).
    OtherBody,
    /// An earlier try was claimed by a node that is gone; it may or may not have run.
    Unknown,
    /// The claim could not be written in time, so nothing was sent.
    NotRun,
}

/// Counts since the node's start.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize)]
pub struct ClaimCounters {
    /// Requests that asked for a claim.
    pub asked: u64,
    /// Claims granted.
    pub granted: u64,
    /// Second tries that found an earlier one.
    pub repeated: u64,
    /// Requests not sent, because no claim could be written.
    pub not_run: u64,
    /// Transactions sent, repeats included.
    pub commits: u64,
    /// Reads sent.
    pub reads: u64,
    /// Transactions whose answer was lost.
    pub lost_answers: u64,
    /// Outcomes that could not be recorded.
    pub unrecorded: u64,
}

/// The claims of one node.
///
/// Events come in through the methods, [`ClaimAction`]s go out through
/// [`take_actions`](Self::take_actions). The edge calls [`poll`](Self::poll) after each call and at
/// [`next_wakeup`](Self::next_wakeup).
///
/// # Examples
///
/// ```
/// use tanagerhub_catalogue::{BootId, OrganisationId, RequestId};
/// use tanagerhub_clock::Moment;
/// use tanagerhub_table::CommitOutcome;
/// use tanagerhub_traffic::{
///     ClaimAction, ClaimAnswer, ClaimRequest, ClaimSettings, Claims, claim_key,
/// };
///
/// let now = Moment::ZERO;
/// let mut claims = Claims::new(ClaimSettings::new(BootId(1)), 7);
/// claims.claim(now, ClaimRequest {
///     request: RequestId(1),
///     key: claim_key(OrganisationId::of("shop"), "return-17"),
///     body: 99,
///     deduplicates: false,
///     give_up: Moment::from_millis(2_000),
/// });
/// claims.poll(now, 1_700_000_000);
/// let actions = claims.take_actions();
/// let [ClaimAction::Commit(transaction)] = actions.as_slice() else {
///     panic!("the claim is written first");
/// };
/// claims.committed(now, transaction.id, CommitOutcome::Committed { rows: Vec::new() });
/// let granted = ClaimAction::Answer { request: RequestId(1), answer: ClaimAnswer::Granted };
/// assert_eq!(claims.take_actions(), [granted]);
/// ```
#[derive(Debug)]
pub struct Claims {
    settings: ClaimSettings,
    random: ChaCha8Rng,
    live: HashSet<BootId>,
    wall_s: u64,
    held: HashMap<RowKey, Claim>,
    /// Rows by the moment when their request is told that it did not run.
    deadlines: BTreeMap<(Moment, u64), RowKey>,
    /// Rows by the request that holds their claim.
    holders: HashMap<RequestId, RowKey>,
    /// Rows that have something to write, in the order in which it is due.
    due: BTreeMap<(Moment, u64), RowKey>,
    next: u64,
    batches: HashMap<TransactionId, Batch>,
    reads: HashMap<TransactionId, Vec<RowKey>>,
    actions: Vec<ClaimAction>,
    counters: ClaimCounters,
}

impl Claims {
    /// Starts without claims.
    #[must_use]
    pub fn new(settings: ClaimSettings, seed: u64) -> Self {
        Self {
            settings,
            random: ChaCha8Rng::seed_from_u64(seed),
            live: HashSet::new(),
            wall_s: 0,
            held: HashMap::new(),
            deadlines: BTreeMap::new(),
            holders: HashMap::new(),
            due: BTreeMap::new(),
            next: 0,
            batches: HashMap::new(),
            reads: HashMap::new(),
            actions: Vec::new(),
            counters: ClaimCounters::default(),
        }
    }

    /// Takes in which nodes live; claims of others count as abandoned.
    pub fn live(&mut self, boots: impl IntoIterator<Item = BootId>) {
        self.live = boots.into_iter().collect();
    }

    /// Asks for a claim; the answer comes as an action.
    pub fn claim(&mut self, now: Moment, ask: ClaimRequest) {
        self.counters.asked += 1;
        let Some(claim) = self.held.get_mut(&ask.key) else {
            self.claim_new(now, ask);
            return;
        };
        if claim.row.body != ask.body {
            self.answer(ask.request, ClaimAnswer::OtherBody);
            return;
        }
        if claim.adopt(&ask) {
            self.set_deadline(ask.give_up, ask.key);
            return;
        }
        let answer = claim.answer();
        self.answer(ask.request, answer);
    }

    /// Takes in the end of a request that was granted a claim.
    ///
    /// With [`Outcome::NotRun`] the claim is removed, so that the caller may try again.
    pub fn finish(
        &mut self,
        now: Moment,
        request: RequestId,
        outcome: Outcome,
        answer: Option<RecordedAnswer>,
    ) {
        let Some(key) = self.holders.remove(&request) else {
            return;
        };
        let limit = self.settings.answer_limit;
        let answer = answer.filter(|answer| answer.body.len() <= limit);
        let Some(claim) = self.held.get_mut(&key) else {
            return;
        };
        claim.end(ClaimResult { outcome, answer });
        self.make_due(now, key);
    }

    /// Sends what is due, and answers requests whose claim is late.
    ///
    /// `wall_s` is the wall time in seconds; it is used only for the age of rows.
    pub fn poll(&mut self, now: Moment, wall_s: u64) {
        self.wall_s = wall_s;
        self.give_up_late(now);
        self.send_due(now);
    }

    /// When [`poll`](Self::poll) has something to do, if nothing else happens.
    #[must_use]
    pub fn next_wakeup(&self) -> Option<Moment> {
        let due = self.due.keys().next().map(|(at, _)| *at);
        let late = self.deadlines.keys().next().map(|(at, _)| *at);
        [due, late].into_iter().flatten().min()
    }

    /// Takes what the edge has to do.
    pub fn take_actions(&mut self) -> Vec<ClaimAction> {
        std::mem::take(&mut self.actions)
    }

    /// Claims whose end is not yet recorded; a graceful shutdown waits for them.
    #[must_use]
    pub fn open(&self) -> usize {
        self.held.len()
    }

    /// What was counted since the start.
    #[must_use]
    pub const fn counters(&self) -> &ClaimCounters {
        &self.counters
    }

    fn claim_new(&mut self, now: Moment, ask: ClaimRequest) {
        if self.held.len() >= self.settings.capacity {
            self.refuse(&ask);
            return;
        }
        let row = ClaimRow {
            body: ask.body,
            boot: self.settings.boot,
            request: ask.request,
            wall_s: self.wall_s,
            result: None,
        };
        let key = ask.key.clone();
        self.set_deadline(ask.give_up, key.clone());
        self.held.insert(key.clone(), Claim::new(row, ask));
        self.make_due(now, key);
    }

    /// Answers a request whose claim can't be written.
    fn refuse(&mut self, ask: &ClaimRequest) {
        if ask.deduplicates {
            self.answer(ask.request, ClaimAnswer::Unclaimed);
        } else {
            self.counters.not_run += 1;
            self.answer(ask.request, ClaimAnswer::NotRun);
        }
    }

    /// Answers requests that have waited long enough; their writes are settled without them.
    fn give_up_late(&mut self, now: Moment) {
        while let Some(first) = self.deadlines.first_entry() {
            if first.key().0 > now {
                return;
            }
            let key = first.remove();
            let late = self.held.get_mut(&key).and_then(|it| it.take_late(now));
            if let Some(ask) = late {
                self.refuse(&ask);
            }
        }
    }

    fn set_deadline(&mut self, at: Moment, key: RowKey) {
        self.next += 1;
        self.deadlines.insert((at, self.next), key);
    }

    fn answer(&mut self, request: RequestId, answer: ClaimAnswer) {
        match answer {
            ClaimAnswer::Granted => self.counters.granted += 1,
            ClaimAnswer::NotRun | ClaimAnswer::Unclaimed => {}
            _ => self.counters.repeated += 1,
        }
        self.actions.push(ClaimAction::Answer { request, answer });
    }

    fn make_due(&mut self, at: Moment, key: RowKey) {
        self.next += 1;
        self.due.insert((at, self.next), key);
    }

    fn draw_id(&mut self) -> TransactionId {
        TransactionId(self.random.random())
    }

    /// A pause before another try, doubled each time, with jitter.
    fn backoff(&mut self, tries: u32) -> Duration {
        let base = BACKOFF_FLOOR * 2_u32.saturating_pow(tries.min(BACKOFF_DOUBLINGS));
        base.mul_f64(self.random.random_range(0.5..1.5))
    }
}

/// The first pause after a transaction that was not applied.
const BACKOFF_FLOOR: Duration = Duration::from_millis(50);
/// How often the pause is doubled.
const BACKOFF_DOUBLINGS: u32 = 6;
