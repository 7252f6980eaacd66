//! At most once: claims on idempotency keys.
//!
//! A claim is a row of the platform's table. It is committed before the request is sent to a back
//! end, and the outcome is recorded in it afterwards, so that a second try at any node finds it.

mod claim;
mod claim_row;
mod read_outcome;
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

pub use claim_row::{CLAIM_PREFIX, ClaimResult, ClaimRow, RecordedResponse, claim_key};

use crate::Outcome;

/// Settings of [`Claims`].
#[derive(Debug, Clone)]
pub struct ClaimSettings {
    /// This start of the node.
    pub boot: BootId,
    /// Claims and outcomes written by one transaction at most.
    pub max_batch_rows: usize,
    /// Transactions on their way at once.
    pub max_in_flight: usize,
    /// The largest answer that is recorded, in bytes.
    pub max_response_bytes: usize,
    /// How long a claim is kept, in seconds of wall time.
    pub lifetime_s: u64,
    /// Claims held in memory at most.
    pub max_claims: usize,
}

impl ClaimSettings {
    /// The usual settings, for this start of the node.
    #[must_use]
    pub const fn new(boot: BootId) -> Self {
        Self {
            boot,
            max_batch_rows: 32,
            max_in_flight: 2,
            max_response_bytes: 16 * 1024,
            lifetime_s: 24 * 60 * 60,
            max_claims: 20_000,
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
    pub body_hash: u64,
    /// Whether the service removes duplicates itself, so that the store may be down.
    pub deduplicates: bool,
    /// When the caller is told `not-run` if the claim is not certain by then.
    pub deadline: Moment,
}

/// What the edge does for claims.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ClaimAction {
    /// Commit this, and call [`Claims::handle_commit`].
    Commit(Transaction),
    /// Read these rows, and call [`Claims::handle_read`].
    Read {
        /// Names the read.
        read: TransactionId,
        /// The rows.
        keys: Vec<RowKey>,
    },
    /// Answer or dispatch this request.
    Respond {
        /// The request.
        request: RequestId,
        /// What to do with it.
        response: ClaimResponse,
    },
}

/// What to do with a request that asked for a claim.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ClaimResponse {
    /// It holds the claim: submit it, and call [`Claims::finish`] at its end.
    Granted,
    /// The store is down, but the service removes duplicates itself: submit it.
    Unclaimed,
    /// An earlier try had this answer: send it to the caller.
    Replay(RecordedResponse),
    /// An earlier try ended so and left no answer.
    Ended(Outcome),
    /// An earlier try still runs (409).
    InProgress,
    /// The key was used with another request (422).
    BodyMismatch,
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
///     ClaimAction, ClaimRequest, ClaimResponse, ClaimSettings, Claims, claim_key,
/// };
///
/// let now = Moment::ZERO;
/// let mut claims = Claims::new(ClaimSettings::new(BootId(1)), 7);
/// claims.claim(now, ClaimRequest {
///     request: RequestId(1),
///     key: claim_key(OrganisationId::of("shop"), "return-17"),
///     body_hash: 99,
///     deduplicates: false,
///     deadline: Moment::from_millis(2_000),
/// });
/// claims.poll(now, 1_700_000_000);
/// let actions = claims.take_actions();
/// let [ClaimAction::Commit(transaction)] = actions.as_slice() else {
///     panic!("the claim is written first");
/// };
/// claims.handle_commit(now, transaction.id, CommitOutcome::Committed { rows: Vec::new() });
/// let granted = ClaimAction::Respond { request: RequestId(1), response: ClaimResponse::Granted };
/// assert_eq!(claims.take_actions(), [granted]);
/// ```
#[derive(Debug)]
pub struct Claims {
    settings: ClaimSettings,
    random: ChaCha8Rng,
    live_boots: HashSet<BootId>,
    wall_s: u64,
    by_key: HashMap<RowKey, Claim>,
    /// Rows by the moment when their request is told that it did not run.
    deadlines: BTreeMap<(Moment, u64), RowKey>,
    /// Rows by the request that holds their claim.
    holders: HashMap<RequestId, RowKey>,
    /// Rows that have something to write, in the order in which it is due.
    scheduled: BTreeMap<(Moment, u64), RowKey>,
    next_sequence: u64,
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
            live_boots: HashSet::new(),
            wall_s: 0,
            by_key: HashMap::new(),
            deadlines: BTreeMap::new(),
            holders: HashMap::new(),
            scheduled: BTreeMap::new(),
            next_sequence: 0,
            batches: HashMap::new(),
            reads: HashMap::new(),
            actions: Vec::new(),
            counters: ClaimCounters::default(),
        }
    }

    /// Takes in which nodes live; claims of others count as abandoned.
    pub fn set_live_boots(&mut self, boots: impl IntoIterator<Item = BootId>) {
        self.live_boots = boots.into_iter().collect();
    }

    /// Asks for a claim; the answer comes as an action.
    pub fn claim(&mut self, now: Moment, waiter: ClaimRequest) {
        self.counters.asked += 1;
        let Some(claim) = self.by_key.get_mut(&waiter.key) else {
            self.insert_claim(now, waiter);
            return;
        };
        if claim.row.body_hash != waiter.body_hash {
            self.respond(waiter.request, ClaimResponse::BodyMismatch);
            return;
        }
        if claim.attach_waiter(&waiter) {
            self.set_deadline(waiter.deadline, waiter.key);
            return;
        }
        let response = claim.response();
        self.respond(waiter.request, response);
    }

    /// Takes in the end of a request that was granted a claim.
    ///
    /// With [`Outcome::NotRun`] the claim is removed, so that the caller may try again.
    pub fn finish(
        &mut self,
        now: Moment,
        request: RequestId,
        outcome: Outcome,
        response: Option<RecordedResponse>,
    ) {
        let Some(key) = self.holders.remove(&request) else {
            return;
        };
        let limit = self.settings.max_response_bytes;
        let response = response.filter(|response| response.body.len() <= limit);
        let Some(claim) = self.by_key.get_mut(&key) else {
            return;
        };
        claim.set_result(ClaimResult { outcome, response });
        self.schedule(now, key);
    }

    /// Sends what is due, and answers requests whose claim is late.
    ///
    /// `wall_s` is the wall time in seconds; it is used only for the age of rows.
    pub fn poll(&mut self, now: Moment, wall_s: u64) {
        self.wall_s = wall_s;
        self.expire_waiters(now);
        self.send_scheduled(now);
    }

    /// When [`poll`](Self::poll) has something to do, if nothing else happens.
    #[must_use]
    pub fn next_wakeup(&self) -> Option<Moment> {
        let scheduled = self.scheduled.keys().next().map(|(at, _)| *at);
        let late = self.deadlines.keys().next().map(|(at, _)| *at);
        [scheduled, late].into_iter().flatten().min()
    }

    /// Takes what the edge has to do.
    pub fn take_actions(&mut self) -> Vec<ClaimAction> {
        std::mem::take(&mut self.actions)
    }

    /// Claims whose end is not yet recorded; a graceful shutdown waits for them.
    #[must_use]
    pub fn open(&self) -> usize {
        self.by_key.len()
    }

    /// What was counted since the start.
    #[must_use]
    pub const fn counters(&self) -> &ClaimCounters {
        &self.counters
    }

    fn insert_claim(&mut self, now: Moment, waiter: ClaimRequest) {
        if self.by_key.len() >= self.settings.max_claims {
            self.respond_without_claim(&waiter);
            return;
        }
        let row = ClaimRow {
            body_hash: waiter.body_hash,
            boot: self.settings.boot,
            request: waiter.request,
            wall_s: self.wall_s,
            result: None,
        };
        let key = waiter.key.clone();
        self.set_deadline(waiter.deadline, key.clone());
        self.by_key.insert(key.clone(), Claim::new(row, waiter));
        self.schedule(now, key);
    }

    /// Answers a request whose claim can't be written.
    fn respond_without_claim(&mut self, waiter: &ClaimRequest) {
        if waiter.deduplicates {
            self.respond(waiter.request, ClaimResponse::Unclaimed);
        } else {
            self.counters.not_run += 1;
            self.respond(waiter.request, ClaimResponse::NotRun);
        }
    }

    /// Answers requests that have waited long enough; their writes are settled without them.
    fn expire_waiters(&mut self, now: Moment) {
        while let Some(first) = self.deadlines.first_entry() {
            if first.key().0 > now {
                return;
            }
            let key = first.remove();
            let late = self
                .by_key
                .get_mut(&key)
                .and_then(|it| it.take_expired_waiter(now));
            if let Some(waiter) = late {
                self.respond_without_claim(&waiter);
            }
        }
    }

    fn set_deadline(&mut self, at: Moment, key: RowKey) {
        self.next_sequence += 1;
        self.deadlines.insert((at, self.next_sequence), key);
    }

    fn respond(&mut self, request: RequestId, response: ClaimResponse) {
        match response {
            ClaimResponse::Granted => self.counters.granted += 1,
            ClaimResponse::NotRun | ClaimResponse::Unclaimed => {}
            _ => self.counters.repeated += 1,
        }
        self.actions
            .push(ClaimAction::Respond { request, response });
    }

    fn schedule(&mut self, at: Moment, key: RowKey) {
        self.next_sequence += 1;
        self.scheduled.insert((at, self.next_sequence), key);
    }

    fn random_transaction_id(&mut self) -> TransactionId {
        TransactionId(self.random.random())
    }

    /// A pause before another try, doubled each time, with jitter.
    fn backoff(&mut self, failures: u32) -> Duration {
        let base = MIN_BACKOFF * 2_u32.saturating_pow(failures.min(MAX_BACKOFF_DOUBLINGS));
        base.mul_f64(self.random.random_range(0.5..1.5))
    }
}

/// The first pause after a transaction that was not applied.
const MIN_BACKOFF: Duration = Duration::from_millis(50);
/// How often the pause is doubled.
const MAX_BACKOFF_DOUBLINGS: u32 = 6;
