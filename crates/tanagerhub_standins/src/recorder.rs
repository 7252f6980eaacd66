//! The log that all stand-ins and test clients share.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use tanagerhub_clock::Clock;

use crate::{Event, Record};

/// Records events in a bounded, shared log.
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

/// A copy of the recorded events.
#[derive(Debug, Clone, Default)]
pub struct Log {
    /// The events in the order in which they were recorded; their times never decrease.
    pub records: Vec<Record>,
    /// Number of events that were dropped because the log was full.
    pub dropped: u64,
}

impl Recorder {
    /// Maximum number of events in the log; later ones are dropped and counted.
    pub const MAX_RECORDS: usize = 1_000_000;

    /// Creates an empty log, which takes its times from this clock.
    #[must_use]
    pub fn new(clock: Clock) -> Self {
        Self {
            clock,
            log: Arc::default(),
        }
    }

    /// Records an event with the present time.
    pub fn record(&self, event: Event) {
        let mut log = self.lock();
        if log.records.len() >= Self::MAX_RECORDS {
            log.dropped += 1;
            return;
        }
        // The time is read under the lock, so that times never decrease along the log.
        let at = self.clock.now();
        log.records.push(Record { at, event });
    }

    /// Returns a copy of the log so far.
    #[must_use]
    pub fn log(&self) -> Log {
        self.lock().clone()
    }

    /// Returns the number of events that match.
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
