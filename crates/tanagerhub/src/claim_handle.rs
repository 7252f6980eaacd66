//! Shares one [`Claims`] among the tasks that serve requests.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use async_channel::Sender;
use serde_json::{Value, json};
use tanagerhub_catalogue::{BootId, RequestId};
use tanagerhub_clock::{Clock, Moment};
use tanagerhub_table::{RowKey, TransactionId};
use tanagerhub_traffic::{
    CLAIM_PREFIX, ClaimAction, ClaimRequest, ClaimResponse, Claims, Outcome, RecordedResponse,
};
use tanagerhub_wire::platform::{Platform, ReadRows};

use crate::wake::Wake;

/// The mean time between two sweeps.
const SWEEP_PERIOD: Duration = Duration::from_mins(10);
/// The number of rows that one sweep reads.
const SWEEP_ROWS: u32 = 1_000;
/// The longest time between two polls of the claims.
const MAX_POLL_INTERVAL: Duration = Duration::from_millis(100);

/// The claims of a node, behind a lock, with access to the platform's table.
#[derive(Debug)]
pub(crate) struct ClaimHandle {
    clock: Clock,
    platform: Arc<dyn Platform>,
    inner: Mutex<Inner>,
    wake: Wake,
}

#[derive(Debug)]
struct Inner {
    claims: Claims,
    mailboxes: HashMap<RequestId, Sender<ClaimResponse>>,
}

impl ClaimHandle {
    pub(crate) fn new(clock: Clock, platform: Arc<dyn Platform>, claims: Claims) -> Self {
        let inner = Mutex::new(Inner {
            claims,
            mailboxes: HashMap::new(),
        });
        Self {
            clock,
            platform,
            inner,
            wake: Wake::default(),
        }
    }

    /// Requests a claim and waits for the result.
    pub(crate) async fn claim(self: &Arc<Self>, request: ClaimRequest) -> ClaimResponse {
        let (sender, mailbox) = async_channel::bounded(1);
        let id = request.request;
        self.run_locked(|inner, now| {
            inner.mailboxes.insert(id, sender);
            inner.claims.claim(now, request);
        });
        // The mailbox is closed without a response only when the node stops.
        mailbox.recv().await.unwrap_or(ClaimResponse::NotRun)
    }

    /// Records the outcome of a request that holds a claim.
    pub(crate) fn finish(
        self: &Arc<Self>,
        request: RequestId,
        outcome: Outcome,
        response: Option<RecordedResponse>,
    ) {
        self.run_locked(|inner, now| inner.claims.finish(now, request, outcome, response));
    }

    /// Sets the boots whose nodes are live.
    pub(crate) fn set_live_boots(self: &Arc<Self>, boots: Vec<BootId>) {
        self.run_locked(|inner, _| inner.claims.set_live_boots(boots));
    }

    /// Returns the number of claims whose outcome is not yet recorded.
    pub(crate) fn open_claims(&self) -> usize {
        self.lock().claims.open_claims()
    }

    /// Returns the state for the node's state dump.
    pub(crate) fn dump(&self) -> Value {
        let inner = self.lock();
        json!({ "open": inner.claims.open_claims(), "counters": inner.claims.counters() })
    }

    /// Polls the claims until the task is cancelled.
    pub(crate) async fn run(self: Arc<Self>) {
        loop {
            self.run_locked(|_, _| {});
            self.wake.wait(&self.clock, self.time_to_wakeup()).await;
        }
    }

    /// Removes expired claims from a random part of the table each time, until the task is
    /// cancelled.
    pub(crate) async fn sweep(self: Arc<Self>) {
        loop {
            self.clock
                .sleep(SWEEP_PERIOD.mul_f64(rand::random_range(0.5..1.5)))
                .await;
            let start = format!("{CLAIM_PREFIX}{:08x}", rand::random::<u32>());
            let rows = ReadRows::Prefix {
                prefix: CLAIM_PREFIX.to_owned(),
                after: Some(RowKey::new(start)),
                limit: SWEEP_ROWS,
            };
            let Ok(rows) = self.platform.read(rows).await else {
                continue;
            };
            let expired = self.lock().claims.sweep(&rows);
            if let Some(transaction) = expired {
                // Claims that this commit doesn't remove are found by a later sweep.
                drop(self.platform.commit(transaction).await);
            }
        }
    }

    fn time_to_wakeup(&self) -> Duration {
        let next = self.lock().claims.next_wakeup();
        let now = self.clock.now();
        next.map_or(MAX_POLL_INTERVAL, |at| at.since(now).min(MAX_POLL_INTERVAL))
    }

    fn run_locked(self: &Arc<Self>, act: impl FnOnce(&mut Inner, Moment)) {
        let now = self.clock.now();
        let mut inner = self.lock();
        act(&mut inner, now);
        inner.claims.poll(now, wall_seconds());
        let actions = inner.claims.take_actions();
        for action in actions {
            self.execute(&mut inner, action);
        }
    }

    fn execute(self: &Arc<Self>, inner: &mut Inner, action: ClaimAction) {
        let handle = Arc::clone(self);
        match action {
            ClaimAction::Respond { request, response } => {
                if let Some(mailbox) = inner.mailboxes.remove(&request) {
                    drop(mailbox.try_send(response));
                }
            }
            ClaimAction::Commit(transaction) => {
                async_std::task::spawn(async move {
                    let id = transaction.id;
                    let outcome = handle.platform.commit(transaction).await;
                    handle.run_locked(|inner, now| inner.claims.handle_commit(now, id, outcome));
                    handle.wake.signal();
                });
            }
            ClaimAction::Read { read, keys } => {
                async_std::task::spawn(
                    async move { handle.read(read, ReadRows::Keys(keys)).await },
                );
            }
        }
    }

    async fn read(self: Arc<Self>, read: TransactionId, rows: ReadRows) {
        let rows = self.platform.read(rows).await.ok();
        self.run_locked(|inner, now| inner.claims.handle_read(now, read, rows));
        self.wake.signal();
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Returns the wall-clock time in seconds since the Unix epoch; used only for the age of old
/// rows.
fn wall_seconds() -> u64 {
    let age = SystemTime::now().duration_since(UNIX_EPOCH);
    age.map_or(0, |age| age.as_secs())
}
