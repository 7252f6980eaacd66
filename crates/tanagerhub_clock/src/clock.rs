//! The clock from which a process reads the time.

use std::sync::Arc;
use std::time::Duration;

use rustix::time::{ClockId, clock_gettime};

use crate::{ManualClock, Moment};

/// The clock of a process: the VM's monotonic clock, or one that a test advances.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use tanagerhub_clock::{Clock, Moment};
///
/// let (clock, handle) = Clock::manual();
/// assert_eq!(clock.now(), Moment::ZERO);
/// handle.advance(Duration::from_secs(1));
/// assert_eq!(clock.now(), Moment::from_millis(1_000));
/// ```
#[derive(Debug, Clone)]
pub enum Clock {
    /// The VM's time since boot, minus the given time since boot at which this clock started.
    ///
    /// It also advances while the VM is suspended.
    Real(Duration),
    /// A paused clock that advances only when a test calls [`ManualClock::advance`].
    Manual(Arc<ManualClock>),
}

impl Default for Clock {
    fn default() -> Self {
        Self::real()
    }
}

impl Clock {
    /// Returns a clock that starts at zero now and follows the VM's time since boot.
    #[must_use]
    pub fn real() -> Self {
        Self::Real(since_boot())
    }

    /// Returns a paused clock at zero, and the handle that advances it.
    #[must_use]
    pub fn manual() -> (Self, Arc<ManualClock>) {
        let handle = Arc::new(ManualClock::default());
        (Self::Manual(Arc::clone(&handle)), handle)
    }

    /// Returns the current time since this clock's start.
    #[must_use]
    pub fn now(&self) -> Moment {
        match self {
            Self::Real(start) => Moment::ZERO + since_boot().saturating_sub(*start),
            Self::Manual(handle) => handle.now(),
        }
    }

    /// Waits for `duration`.
    ///
    /// On a real clock, the async runtime's timer measures the wait, which may exclude time for
    /// which the VM is suspended.
    pub async fn sleep(&self, duration: Duration) {
        match self {
            Self::Real(_) => async_std::task::sleep(duration).await,
            Self::Manual(handle) => handle.sleep(duration).await,
        }
    }

    /// Runs `work` for at most `duration`; returns `None` if it has not finished by then.
    ///
    /// # Examples
    ///
    /// ```
    /// use std::time::Duration;
    /// use tanagerhub_clock::Clock;
    ///
    /// let clock = Clock::real();
    /// let late = clock.timeout(Duration::from_millis(5), std::future::pending::<()>());
    /// assert!(async_std::task::block_on(late).is_none());
    /// ```
    pub async fn timeout<T>(&self, duration: Duration, work: impl Future<Output = T>) -> Option<T> {
        let work = async { Some(work.await) };
        let late = async {
            self.sleep(duration).await;
            None
        };
        futures_lite::future::or(work, late).await
    }
}

/// Returns the time since boot, including the time for which the VM was suspended.
fn since_boot() -> Duration {
    let time = clock_gettime(ClockId::Boottime);
    let seconds = u64::try_from(time.tv_sec).unwrap_or_default();
    let nanos = u32::try_from(time.tv_nsec).unwrap_or_default();
    Duration::new(seconds, nanos)
}
