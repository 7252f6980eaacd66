//! The clock that a process reads.

use std::sync::Arc;
use std::time::Duration;

use rustix::time::{ClockId, clock_gettime};

use crate::{ManualClock, Moment};

/// The clock of a process: real, or advanced by a test.
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
    /// The time since boot, counted from the given time; it goes on while the VM is suspended.
    Real(Duration),
    /// A clock that stands still until a test advances it.
    Manual(Arc<ManualClock>),
}

impl Default for Clock {
    fn default() -> Self {
        Self::real()
    }
}

impl Clock {
    /// Starts a clock on the VM's time since boot.
    #[must_use]
    pub fn real() -> Self {
        Self::Real(since_boot())
    }

    /// Starts a paused clock, and gives the handle that advances it.
    #[must_use]
    pub fn manual() -> (Self, Arc<ManualClock>) {
        let handle = Arc::new(ManualClock::default());
        (Self::Manual(Arc::clone(&handle)), handle)
    }

    /// The present moment.
    #[must_use]
    pub fn now(&self) -> Moment {
        match self {
            Self::Real(start) => Moment::ZERO + since_boot().saturating_sub(*start),
            Self::Manual(handle) => handle.now(),
        }
    }

    /// Waits until `span` has passed on this clock.
    pub async fn sleep(&self, duration: Duration) {
        match self {
            Self::Real(_) => async_std::task::sleep(duration).await,
            Self::Manual(handle) => handle.sleep(duration).await,
        }
    }

    /// Runs `work` until it ends or `duration` has passed; `None` means that it was too late.
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

/// The time since boot, with the time that the VM was suspended.
fn since_boot() -> Duration {
    let time = clock_gettime(ClockId::Boottime);
    let seconds = u64::try_from(time.tv_sec).unwrap_or_default();
    let nanos = u32::try_from(time.tv_nsec).unwrap_or_default();
    Duration::new(seconds, nanos)
}
