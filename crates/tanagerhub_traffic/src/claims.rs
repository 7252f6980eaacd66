//! At-most-once execution of requests through claims on idempotency keys.
//!
//! A claim is a row of the platform's table. It is committed before the request is sent to a
//! backend server, and the outcome is recorded in it afterwards, so that a repeated request finds
//! it at any node.

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
    /// Boot id of this node, written into its claims.
    pub boot: BootId,
    /// Maximum number of rows that one transaction or read covers.
    pub max_batch_rows: usize,
    /// Maximum number of transactions in flight, and of reads in flight.
    pub max_in_flight: usize,
    /// Size of the largest response body that is recorded, in bytes.
    pub max_response_bytes: usize,
    /// Retention time of a claim, in seconds of wall time.
    pub lifetime_s: u64,
    /// Maximum number of claims held in memory; further requests get no claim.
    pub max_claims: usize,
}

impl ClaimSettings {
    /// Returns the default settings for the given boot of the node.
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

/// A request for a claim on an idempotency key.
#[derive(Debug, Clone)]
pub struct ClaimRequest {
    /// Id of the request that holds the claim once it is granted.
    pub request: RequestId,
    /// Key of the claim row, from [`claim_key`].
    pub key: RowKey,
    /// Hash of the request's method, path and body.
    pub body_hash: u64,
    /// Whether the service removes duplicates itself, so that the request may run without a claim
    /// while the store is unavailable.
    pub deduplicates: bool,
    /// Moment at which the request stops waiting for its claim: its caller then gets `not-run`, or
    /// the request runs without a claim if the service removes duplicates.
    pub deadline: Moment,
}

/// An operation that the owner of a [`Claims`] performs for it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ClaimAction {
    /// Commit this transaction, then call [`Claims::handle_commit`].
    Commit(Transaction),
    /// Read these rows, then call [`Claims::handle_read`].
    Read {
        /// Id of the read, passed back to [`Claims::handle_read`].
        read: TransactionId,
        /// Keys of the rows to read.
        keys: Vec<RowKey>,
    },
    /// Respond to this request or dispatch it.
    Respond {
        /// Id from the [`ClaimRequest`].
        request: RequestId,
        /// Whether to dispatch the request, or how to respond to its caller.
        response: ClaimResponse,
    },
}

/// The response to a [`ClaimRequest`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ClaimResponse {
    /// The request holds the claim: submit it, and call [`Claims::finish`] when it ends.
    Granted,
    /// The claim could not be written, but the service removes duplicates itself: submit the
    /// request without a claim.
    Unclaimed,
    /// An earlier request with the key got this response: send it to the caller.
    Replay(RecordedResponse),
    /// An earlier request with the key ended with this outcome, and no response was recorded.
    Ended(Outcome),
    /// An earlier request with the key is still running (409).
    InProgress,
    /// The key was used for a request with a different method, path or body (422).
    BodyMismatch,
    /// An earlier request was claimed by a boot that is no longer live, or the row can't be
    /// decoded. The request may or may not have run.
    Unknown,
    /// The claim could not be written before the deadline, or too many claims are open; the request
    /// was not sent.
    NotRun,
}

/// Event counts since the node's start.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize)]
pub struct ClaimCounters {
    /// Claim requests received.
    pub asked: u64,
    /// Claims granted.
    pub granted: u64,
    /// Requests that found an earlier request with the same key.
    pub repeated: u64,
    /// Requests rejected because no claim could be written.
    pub not_run: u64,
    /// Transactions sent, including repeated ones.
    pub commits: u64,
    /// Reads sent, each for up to [`ClaimSettings::max_batch_rows`] rows.
    pub reads: u64,
    /// Transactions whose outcome is unknown because their response was lost.
    pub lost_answers: u64,
    /// Outcomes that could not be recorded because the row had been changed or removed.
    pub unrecorded: u64,
}

/// The claims of one node.
///
/// The type performs no I/O. Events are passed in through the methods, and the owner performs the
/// [`ClaimAction`]s that [`take_actions`](Self::take_actions) returns. The owner calls
/// [`poll`](Self::poll) after each event and at [`next_wakeup`](Self::next_wakeup).
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
    /// Row keys by the deadline of the waiting request.
    deadlines: BTreeMap<(Moment, u64), RowKey>,
    /// Row keys by the request that holds the claim.
    holders: HashMap<RequestId, RowKey>,
    /// Keys of the rows to write or read, by the moment at which that is due.
    scheduled: BTreeMap<(Moment, u64), RowKey>,
    next_sequence: u64,
    batches: HashMap<TransactionId, Batch>,
    reads: HashMap<TransactionId, Vec<RowKey>>,
    actions: Vec<ClaimAction>,
    counters: ClaimCounters,
}

impl Claims {
    /// Creates an empty set of claims; `seed` determines transaction ids and backoff jitter.
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

    /// Sets the boots of the live nodes; claims of other boots count as abandoned.
    pub fn set_live_boots(&mut self, boots: impl IntoIterator<Item = BootId>) {
        self.live_boots = boots.into_iter().collect();
    }

    /// Requests a claim; the response follows as [`ClaimAction::Respond`].
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

    /// Records the end of a request that was granted a claim.
    ///
    /// A claim recorded with [`Outcome::NotRun`] does not block the key, so the caller may retry.
    /// A response body above [`ClaimSettings::max_response_bytes`] is not recorded.
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

    /// Sends the reads and writes that are due, and responds to requests whose deadline has passed.
    ///
    /// `wall_s` is the wall time in seconds; it is used only for the age of rows.
    pub fn poll(&mut self, now: Moment, wall_s: u64) {
        self.wall_s = wall_s;
        self.expire_waiters(now);
        self.send_scheduled(now);
    }

    /// Returns when [`poll`](Self::poll) has to be called next if no event occurs before.
    #[must_use]
    pub fn next_wakeup(&self) -> Option<Moment> {
        let scheduled = self.scheduled.keys().next().map(|(at, _)| *at);
        let deadline = self.deadlines.keys().next().map(|(at, _)| *at);
        [scheduled, deadline].into_iter().flatten().min()
    }

    /// Takes the actions that the owner has to perform, in order.
    pub fn take_actions(&mut self) -> Vec<ClaimAction> {
        std::mem::take(&mut self.actions)
    }

    /// Returns the number of claims whose result is not yet recorded; a graceful shutdown waits
    /// for them.
    #[must_use]
    pub fn open_claims(&self) -> usize {
        self.by_key.len()
    }

    /// Returns the event counts since the start of the node.
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

    /// Responds to a request whose claim can't be written.
    fn respond_without_claim(&mut self, waiter: &ClaimRequest) {
        if waiter.deduplicates {
            self.respond(waiter.request, ClaimResponse::Unclaimed);
        } else {
            self.counters.not_run += 1;
            self.respond(waiter.request, ClaimResponse::NotRun);
        }
    }

    /// Responds to requests whose deadline has passed; writes in flight are completed without them.
    fn expire_waiters(&mut self, now: Moment) {
        while let Some(first) = self.deadlines.first_entry() {
            if first.key().0 > now {
                return;
            }
            let key = first.remove();
            let expired = self
                .by_key
                .get_mut(&key)
                .and_then(|it| it.take_expired_waiter(now));
            if let Some(waiter) = expired {
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

    /// Returns the pause before the next attempt: exponential in `failures`, with jitter.
    fn backoff(&mut self, failures: u32) -> Duration {
        let base = MIN_BACKOFF * 2_u32.saturating_pow(failures.min(MAX_BACKOFF_DOUBLINGS));
        base.mul_f64(self.random.random_range(0.5..1.5))
    }
}

/// Base of the pause before a retry of a write that was not applied or a read that failed. Each
/// consecutive failure, the first one included, doubles it; jitter is applied afterwards.
const MIN_BACKOFF: Duration = Duration::from_millis(50);
/// Maximum number of times that [`MIN_BACKOFF`] is doubled.
const MAX_BACKOFF_DOUBLINGS: u32 = 6;
