//! Scheduling of reads of the table, with backoff after failures.

use std::collections::BTreeMap;
use std::time::Duration;

use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use tanagerhub_clock::Moment;

use crate::{OperationId, ReadId, StoreState};

/// Time after which a read without a response has failed.
const READ_TIMEOUT: Duration = Duration::from_secs(3);

/// The purpose of a read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ReadPurpose {
    /// The catalogue head and the row of this node's slot.
    Head,
    /// All node slots.
    Slots,
    /// The catalogue head for an operator's change.
    Apply(OperationId),
}

/// A read without a response so far.
#[derive(Debug, Clone, Copy)]
pub(crate) struct OpenRead {
    pub(crate) purpose: ReadPurpose,
    pub(crate) sent: Moment,
}

/// The reads of the table: due times, open reads and backoff.
#[derive(Debug)]
pub(crate) struct StoreReader {
    open: BTreeMap<ReadId, OpenRead>,
    next_id: u64,
    failures: u32,
    pub(crate) state: StoreState,
    pub(crate) head_due: Moment,
    pub(crate) slots_due: Moment,
    /// When the last successful read of all slots was sent.
    pub(crate) slots_read_at: Option<Moment>,
}

impl StoreReader {
    pub(crate) const fn new() -> Self {
        Self {
            open: BTreeMap::new(),
            next_id: 0,
            failures: 0,
            state: StoreState::Unasked,
            head_due: Moment::ZERO,
            slots_due: Moment::ZERO,
            slots_read_at: None,
        }
    }

    /// Returns whether all slots were read late enough to decide whether a change is in force.
    ///
    /// A node that registers after a read that followed the commit first reads the version from the
    /// table. If the table has failed since, no node can register, and a read that followed the
    /// start of the change is sufficient: a node that registered in between becomes stale within
    /// the freshness limit, since a majority holds the newer version.
    pub(crate) fn has_read_slots(&self, started_at: Moment, committed_at: Moment) -> bool {
        let needed = match self.state {
            StoreState::Down => started_at,
            StoreState::Up | StoreState::Unasked => committed_at,
        };
        self.slots_read_at >= Some(needed)
    }

    /// Records a read that is being sent.
    pub(crate) fn start(&mut self, purpose: ReadPurpose, now: Moment) -> ReadId {
        self.next_id += 1;
        let read = ReadId(self.next_id);
        self.open.insert(read, OpenRead { purpose, sent: now });
        read
    }

    /// Returns whether a read for this purpose is open.
    pub(crate) fn is_open(&self, purpose: ReadPurpose) -> bool {
        self.open.values().any(|open| open.purpose == purpose)
    }

    /// Records the success of a read. Returns `None` if the read is not open.
    pub(crate) fn succeeded(&mut self, read: ReadId) -> Option<OpenRead> {
        let open = self.open.remove(&read)?;
        self.failures = 0;
        self.state = StoreState::Up;
        Some(open)
    }

    /// Records the failure of a read. Returns `None` if the read is not open.
    pub(crate) fn failed(&mut self, read: ReadId) -> Option<OpenRead> {
        let open = self.open.remove(&read)?;
        self.failures += 1;
        self.state = StoreState::Down;
        Some(open)
    }

    /// Returns the reads that have timed out.
    pub(crate) fn overdue(&self, now: Moment) -> Vec<ReadId> {
        let late = self.open.iter();
        let late = late.filter(|(_, open)| now.since(open.sent) >= READ_TIMEOUT);
        late.map(|(read, _)| *read).collect()
    }

    /// Returns the delay before the next read: `period` with jitter, doubled by each failure up to
    /// `limit`.
    pub(crate) fn delay(
        &self,
        period: Duration,
        limit: Duration,
        rng: &mut ChaCha8Rng,
    ) -> Duration {
        let doubled = period.saturating_mul(1 << self.failures.min(6));
        let delay = if self.failures == 0 {
            period
        } else {
            doubled.min(limit.max(period))
        };
        delay.mul_f64(rng.random_range(0.75..1.25))
    }
}
