//! The memory that a node may use for bytes of callers and backend servers.
//!
//! Bytes are reserved before they are read or kept, and given back when their [`Reservation`]
//! shrinks or is dropped. Control traffic, health checks and refusals need no reservation, so a
//! full budget never stops them.

mod ledger;

use std::fmt;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use event_listener::Event;
use tanagerhub_clock::Clock;

use crate::memory_budget::ledger::{Answer, Ledger, PartLedger, Place};

/// The part of the budget that bytes belong to. Each part has a share of its own, so that a full
/// part never blocks the other one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Part {
    /// Bodies of requests, also while they are kept for further attempts.
    Bodies,
    /// Buffered responses, and the buffers of open requests.
    Responses,
}

impl Part {
    /// Both parts.
    pub const ALL: [Self; 2] = [Self::Bodies, Self::Responses];

    /// Returns the name of the part for metrics and the log.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Bodies => "bodies",
            Self::Responses => "responses",
        }
    }
}

/// How full a part is. A part leaves a level only well below the usage at which it enters it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Level {
    /// All requests get their bytes.
    Normal,
    /// From 70 % on: only urgent requests get bytes, the others wait or are refused.
    Soft,
    /// From 90 % on: all new requests are refused.
    Hard,
}

impl Level {
    /// Returns the name of the level for metrics and the log.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Normal => "normal",
            Self::Soft => "soft",
            Self::Hard => "hard",
        }
    }
}

/// The usage of one part, in bytes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PartUsage {
    /// Maximum of reserved bytes.
    pub limit: u64,
    /// Reserved bytes.
    pub used: u64,
    /// Most bytes that were reserved at any time.
    pub peak: u64,
    /// How full the part is.
    pub level: Level,
    /// Number of requests that wait for bytes.
    pub waiting: usize,
    /// Number of refusals since the start.
    pub refused: u64,
}

/// Why bytes were not reserved.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum MemoryError {
    /// The part is too full for a request of this urgency, or was so for too long.
    #[error("the node has no memory for the request")]
    Full,
    /// The part can never hold this many bytes.
    #[error("the request needs more memory than the node may use")]
    TooLarge,
}

/// A budget of memory; clones share it.
///
/// # Examples
///
/// ```
/// use tanagerhub_proxy::{Level, MemoryBudget, Part};
///
/// let budget = MemoryBudget::new(10_000_000);
/// let reservation = budget.try_reserve(Part::Bodies, 1_900_000, 0)?;
/// assert_eq!(budget.level(Part::Bodies), Level::Hard);
/// assert!(budget.try_reserve(Part::Bodies, 1, 0).is_err());
/// assert!(budget.try_reserve(Part::Responses, 1, 0).is_ok());
/// drop(reservation);
/// assert_eq!(budget.usage(Part::Bodies).used, 0);
/// # Ok::<(), tanagerhub_proxy::MemoryError>(())
/// ```
#[derive(Debug, Clone)]
pub struct MemoryBudget(Arc<Shared>);

#[derive(Debug)]
struct Shared {
    ledger: Mutex<Ledger>,
    /// Notified when bytes are given back.
    freed: Event,
    next_place: AtomicU64,
}

impl MemoryBudget {
    /// Creates a budget for a process that may use `limit` bytes in all: 20 % of them are for
    /// bodies of requests and 35 % for responses.
    #[must_use]
    pub fn new(limit: u64) -> Self {
        Self(Arc::new(Shared {
            ledger: Mutex::new(Ledger::new(limit)),
            freed: Event::new(),
            next_place: AtomicU64::new(0),
        }))
    }

    /// Reserves bytes for a new request without waiting; urgency 0 is the highest.
    ///
    /// # Errors
    ///
    /// Fails when the request is refused or would have to wait.
    pub fn try_reserve(
        &self,
        part: Part,
        bytes: u64,
        urgency: u8,
    ) -> Result<Reservation, MemoryError> {
        let place = self.place(urgency);
        match self.ask(part, bytes, place) {
            Answer::Granted => Ok(self.reservation(part, bytes)),
            Answer::TooLarge => Err(MemoryError::TooLarge),
            Answer::Refused => Err(MemoryError::Full),
            Answer::Wait => {
                self.with(part, |ledger| ledger.stop_waiting(place));
                self.0.freed.notify(usize::MAX);
                Err(MemoryError::Full)
            }
        }
    }

    /// Reserves bytes for a new request, and waits for them for at most `timeout` if the part is
    /// not so full that the request is refused at once.
    ///
    /// # Errors
    ///
    /// Fails when the request is refused, or the bytes are not free in time.
    pub async fn reserve(
        &self,
        part: Part,
        bytes: u64,
        urgency: u8,
        clock: &Clock,
        timeout: Duration,
    ) -> Result<Reservation, MemoryError> {
        let place = self.place(urgency);
        let waiter = Waiter {
            budget: self,
            part,
            place,
        };
        let granted = async {
            loop {
                let freed = self.0.freed.listen();
                match self.ask(part, bytes, place) {
                    Answer::Granted => return Ok(self.reservation(part, bytes)),
                    Answer::TooLarge => return Err(MemoryError::TooLarge),
                    Answer::Refused => return Err(MemoryError::Full),
                    Answer::Wait => freed.await,
                }
            }
        };
        let reserved = clock.timeout(timeout, granted).await;
        drop(waiter);
        reserved.unwrap_or(Err(MemoryError::Full))
    }

    /// Reserves bytes for a response that a backend server has begun, and waits for them as long as
    /// the future is polled.
    ///
    /// # Errors
    ///
    /// Fails when the part can never hold the bytes.
    pub async fn reserve_running(
        &self,
        part: Part,
        bytes: u64,
    ) -> Result<Reservation, MemoryError> {
        if bytes > self.usage(part).limit {
            self.with(part, PartLedger::refuse);
            return Err(MemoryError::TooLarge);
        }
        loop {
            let freed = self.0.freed.listen();
            if self.with(part, |ledger| ledger.grow(bytes)) {
                return Ok(self.reservation(part, bytes));
            }
            freed.await;
        }
    }

    /// Returns a reservation of no bytes.
    #[must_use]
    pub fn empty(&self, part: Part) -> Reservation {
        self.reservation(part, 0)
    }

    /// Returns how full a part is.
    #[must_use]
    pub fn level(&self, part: Part) -> Level {
        self.ledger().part(part).level()
    }

    /// Returns the usage of a part.
    #[must_use]
    pub fn usage(&self, part: Part) -> PartUsage {
        self.ledger().part(part).usage()
    }

    fn place(&self, urgency: u8) -> Place {
        (urgency, self.0.next_place.fetch_add(1, Ordering::Relaxed))
    }

    fn ask(&self, part: Part, bytes: u64, place: Place) -> Answer {
        self.with(part, |ledger| ledger.ask(bytes, place))
    }

    fn reservation(&self, part: Part, bytes: u64) -> Reservation {
        Reservation {
            budget: self.clone(),
            part,
            bytes,
        }
    }

    /// Changes a part, and logs a change of its level.
    fn with<T>(&self, part: Part, change: impl FnOnce(&mut PartLedger) -> T) -> T {
        let mut ledger = self.ledger();
        let changed = ledger.part_mut(part);
        let before = changed.level();
        let result = change(changed);
        let usage = changed.usage();
        drop(ledger);
        if usage.level != before {
            log::warn!(
                part = part.name(),
                level = usage.level.name(),
                before = before.name(),
                used_bytes = usage.used,
                limit_bytes = usage.limit,
                waiting = usage.waiting;
                "memory level changed"
            );
        }
        result
    }

    fn ledger(&self) -> MutexGuard<'_, Ledger> {
        self.0.ledger.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Removes a request from those that wait, however its wait ends.
struct Waiter<'a> {
    budget: &'a MemoryBudget,
    part: Part,
    place: Place,
}

impl Drop for Waiter<'_> {
    fn drop(&mut self) {
        self.budget
            .with(self.part, |ledger| ledger.stop_waiting(self.place));
        // The next one in the order may have waited for this one only.
        self.budget.0.freed.notify(usize::MAX);
    }
}

/// Reserved bytes, which are given back when this is dropped.
pub struct Reservation {
    budget: MemoryBudget,
    part: Part,
    bytes: u64,
}

impl fmt::Debug for Reservation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Reservation")
            .field("part", &self.part)
            .field("bytes", &self.bytes)
            .finish_non_exhaustive()
    }
}

impl Reservation {
    /// Returns the number of reserved bytes.
    #[must_use]
    pub const fn bytes(&self) -> u64 {
        self.bytes
    }

    /// Returns whether there are reserved bytes, and their part is at the hard level.
    #[must_use]
    pub fn is_short(&self) -> bool {
        self.bytes > 0 && self.budget.level(self.part) == Level::Hard
    }

    /// Returns the budget that the bytes belong to.
    #[must_use]
    pub const fn budget(&self) -> &MemoryBudget {
        &self.budget
    }

    /// Reserves more bytes, if they are free, or gives the rest back.
    ///
    /// # Errors
    ///
    /// Fails when the part can't hold the additional bytes now; the reservation then stays as it
    /// is.
    pub fn resize(&mut self, bytes: u64) -> Result<(), MemoryError> {
        if bytes <= self.bytes {
            self.shrink(bytes);
            return Ok(());
        }
        let more = bytes - self.bytes;
        if !self.budget.with(self.part, |ledger| ledger.grow(more)) {
            self.budget.with(self.part, PartLedger::refuse);
            return Err(MemoryError::Full);
        }
        self.bytes = bytes;
        Ok(())
    }

    /// Records bytes that are already in memory, even beyond the limit.
    pub fn record(&mut self, bytes: u64) {
        if bytes <= self.bytes {
            self.shrink(bytes);
            return;
        }
        let more = bytes - self.bytes;
        self.budget.with(self.part, |ledger| ledger.add(more));
        self.bytes = bytes;
    }

    fn shrink(&mut self, bytes: u64) {
        let freed = self.bytes - bytes;
        if freed == 0 {
            return;
        }
        self.bytes = bytes;
        self.budget
            .with(self.part, |ledger| ledger.give_back(freed));
        self.budget.0.freed.notify(usize::MAX);
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.shrink(0);
    }
}
