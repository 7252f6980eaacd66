//! The log that all stand-ins and test clients share.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use tanagerhub_clock::Clock;

use crate::{Event, Record};

/// A bounded, shared log of facts.
///
/// # Examples
///
/// ```
/// use tanagerhub_catalogue::VmId;
/// use tanagerhub_clock::Clock;
/// use tanagerhub_standins::{Event, Recorder};
///
/// let recorder = Recorder::new(Clock::real());
/// recorder.record(Event::Leaving { vm: VmId::of("vm-1") });
/// assert_eq!(recorder.log().records.len(), 1);
/// ```
#[derive(Debug, Clone)]
pub struct Recorder {
    clock: Clock,
    log: Arc<Mutex<Log>>,
}

/// Records in the order in which they were noted.
#[derive(Debug, Clone, Default)]
pub struct Log {
    /// The records.
    pub records: Vec<Record>,
    /// Records that found no room.
    pub dropped: u64,
}

impl Recorder {
    /// The most records that are kept.
    pub const CAPACITY: usize = 1_000_000;

    /// Starts an empty log on this clock.
    #[must_use]
    pub fn new(clock: Clock) -> Self {
        Self {
            clock,
            log: Arc::default(),
        }
    }

    /// Adds a fact with the present time.
    pub fn record(&self, event: Event) {
        let mut log = self.lock();
        if log.records.len() >= Self::CAPACITY {
            log.dropped += 1;
            return;
        }
        // The time is read under the lock, so that it never falls along the log.
        let at = self.clock.now();
        log.records.push(Record { at, event });
    }

    /// A copy of the log so far.
    #[must_use]
    pub fn log(&self) -> Log {
        self.lock().clone()
    }

    /// Counts the records that fit.
    #[must_use]
    pub fn count(&self, matches: impl Fn(&Event) -> bool) -> usize {
        let log = self.lock();
        log.records
            .iter()
            .filter(|record| matches(&record.event))
            .count()
    }

    fn lock(&self) -> MutexGuard<'_, Log> {
        self.log.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
