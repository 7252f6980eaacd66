//! Graceful shutdown.

use std::time::Duration;

use serde::Serialize;
use tanagerhub_clock::Moment;

/// Phase of a graceful shutdown.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum DrainState {
    /// The node is ready and accepts requests.
    Accepting,
    /// The node is not ready but accepts requests, because the load balancer may still send some.
    Leaving,
    /// The node refuses new requests while those accepted before finish.
    Draining,
    /// No request is left; the process may exit.
    Drained,
}

/// Computes the [`DrainState`] from the start of the shutdown and the number of open requests.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use tanagerhub_clock::Moment;
/// use tanagerhub_traffic::{Drain, DrainState};
///
/// let mut drain = Drain::default();
/// drain.begin(Moment::ZERO, Duration::from_secs(5));
/// assert_eq!(drain.state(Moment::from_millis(1), 0), DrainState::Leaving);
/// assert_eq!(drain.state(Moment::from_millis(5_000), 3), DrainState::Draining);
/// assert_eq!(drain.state(Moment::from_millis(6_000), 0), DrainState::Drained);
/// ```
#[derive(Debug, Clone, Copy, Default)]
pub struct Drain {
    refuse_from: Option<Moment>,
}

impl Drain {
    /// Begins a shutdown; new requests are still accepted for `grace`. Later calls have no effect.
    pub fn begin(&mut self, now: Moment, grace: Duration) {
        self.refuse_from.get_or_insert(now + grace);
    }

    /// Returns the phase, given the number of requests that wait or run.
    #[must_use]
    pub fn state(&self, now: Moment, open: usize) -> DrainState {
        match self.refuse_from {
            None => DrainState::Accepting,
            Some(from) if now < from => DrainState::Leaving,
            Some(_) if open > 0 => DrainState::Draining,
            Some(_) => DrainState::Drained,
        }
    }

    /// Whether new requests are accepted at this moment.
    #[must_use]
    pub fn accepts(&self, now: Moment) -> bool {
        self.refuse_from.is_none_or(|from| now < from)
    }

    /// Returns the end of the grace period, at which the phase changes without an event.
    #[must_use]
    pub const fn next_wakeup(&self) -> Option<Moment> {
        self.refuse_from
    }
}
