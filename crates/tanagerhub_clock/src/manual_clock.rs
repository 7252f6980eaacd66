//! A paused clock that is advanced explicitly.

use std::future::poll_fn;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::task::{Poll, Waker};
use std::time::Duration;

use crate::Moment;

/// A clock that advances only by calls of [`advance`](Self::advance).
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use tanagerhub_clock::{ManualClock, Moment};
///
/// let clock = ManualClock::default();
/// clock.advance(Duration::from_millis(20));
/// assert_eq!(clock.now(), Moment::from_millis(20));
/// ```
#[derive(Debug, Default)]
pub struct ManualClock {
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    now: Moment,
    sleepers: Vec<(Moment, Waker)>,
}

impl ManualClock {
    /// Returns the current time; zero until the clock is first advanced.
    #[must_use]
    pub fn now(&self) -> Moment {
        self.lock().now
    }

    /// Moves the clock forward by `duration` and wakes the tasks whose sleep has ended.
    pub fn advance(&self, duration: Duration) {
        let due = self.lock().advance(duration);
        for waker in due {
            waker.wake();
        }
    }

    /// Waits until the clock has been advanced by at least `duration`.
    pub async fn sleep(&self, duration: Duration) {
        let wake_at = self.now() + duration;
        poll_fn(|context| {
            let mut state = self.lock();
            if state.now >= wake_at {
                return Poll::Ready(());
            }
            state.sleepers.push((wake_at, context.waker().clone()));
            Poll::Pending
        })
        .await;
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    fn advance(&mut self, duration: Duration) -> Vec<Waker> {
        self.now = self.now + duration;
        let now = self.now;
        let (due, pending) = self
            .sleepers
            .drain(..)
            .partition::<Vec<_>, _>(|(wake_at, _)| *wake_at <= now);
        self.sleepers = pending;
        due.into_iter().map(|(_, waker)| waker).collect()
    }
}
