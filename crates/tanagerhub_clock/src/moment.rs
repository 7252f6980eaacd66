//! A point in time on a monotonic clock.

use std::fmt;
use std::ops::{Add, Sub};
use std::time::Duration;

use serde::{Deserialize, Serialize};

/// A point in time, in nanoseconds since the clock's start.
///
/// Moments of different processes can't be compared, because each process has its own clock start.
/// Messages between processes carry ages instead.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use tanagerhub_clock::Moment;
///
/// let later = Moment::ZERO + Duration::from_secs(2);
/// assert_eq!(later.since(Moment::ZERO), Duration::from_secs(2));
/// assert_eq!(Moment::ZERO.since(later), Duration::ZERO);
/// ```
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
pub struct Moment(u64);

impl Moment {
    /// The clock's start.
    pub const ZERO: Self = Self(0);

    /// Returns the point this many nanoseconds after the clock's start.
    #[must_use]
    pub const fn from_nanos(nanos: u64) -> Self {
        Self(nanos)
    }

    /// Returns the point this many milliseconds after the clock's start; saturates after 584 years.
    #[must_use]
    pub const fn from_millis(millis: u64) -> Self {
        Self(millis.saturating_mul(1_000_000))
    }

    /// Returns the nanoseconds since the clock's start.
    #[must_use]
    pub const fn as_nanos(self) -> u64 {
        self.0
    }

    /// Returns the milliseconds since the clock's start, rounded down.
    #[must_use]
    pub const fn as_millis(self) -> u64 {
        self.0 / 1_000_000
    }

    /// Returns the time since `earlier`, or zero if `earlier` is the later of the two.
    #[must_use]
    pub const fn since(self, earlier: Self) -> Duration {
        Duration::from_nanos(self.0.saturating_sub(earlier.0))
    }

    /// Returns the point `age` before this one, or the clock's start if that would be before it.
    #[must_use]
    pub fn before(self, age: Duration) -> Self {
        Self(self.0.saturating_sub(saturating_nanos(age)))
    }
}

impl Add<Duration> for Moment {
    type Output = Self;

    fn add(self, duration: Duration) -> Self {
        Self(self.0.saturating_add(saturating_nanos(duration)))
    }
}

impl Sub for Moment {
    type Output = Duration;

    fn sub(self, earlier: Self) -> Duration {
        self.since(earlier)
    }
}

impl fmt::Display for Moment {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{}.{:03} s",
            self.0 / 1_000_000_000,
            self.as_millis() % 1_000
        )
    }
}

/// Returns `duration` in nanoseconds, limited to what fits in 64 bits (584 years).
fn saturating_nanos(duration: Duration) -> u64 {
    u64::try_from(duration.as_nanos()).unwrap_or(u64::MAX)
}
