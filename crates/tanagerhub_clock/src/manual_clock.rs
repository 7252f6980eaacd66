//! A clock that stands still until it is advanced.

use std::future::poll_fn;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::task::{Poll, Waker};
use std::time::Duration;

use crate::Moment;

/// A paused clock, advanced by hand.
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
    /// The present moment.
    #[must_use]
    pub fn now(&self) -> Moment {
        self.lock().now
    }

    /// Moves the clock forward and wakes the tasks whose time has come.
    pub fn advance(&self, span: Duration) {
        let due = self.lock().advance(span);
        for waker in due {
            waker.wake();
        }
    }

    /// Waits until `span` has passed.
    pub async fn sleep(&self, span: Duration) {
        let end = self.now() + span;
        poll_fn(|context| {
            let mut state = self.lock();
            if state.now >= end {
                return Poll::Ready(());
            }
            state.sleepers.push((end, context.waker().clone()));
            Poll::Pending
        })
        .await;
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    fn advance(&mut self, span: Duration) -> Vec<Waker> {
        self.now = self.now + span;
        let now = self.now;
        let (due, later) = self
            .sleepers
            .drain(..)
            .partition::<Vec<_>, _>(|(end, _)| *end <= now);
        self.sleepers = later;
        due.into_iter().map(|(_, waker)| waker).collect()
    }
}
