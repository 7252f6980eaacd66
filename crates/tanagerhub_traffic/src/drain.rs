//! Graceful shutdown.

use std::time::Duration;

use serde::Serialize;
use tanagerhub_clock::Moment;

/// How far a graceful shutdown has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum DrainState {
    /// Ready and accepting.
    Accepting,
    /// Not ready, but accepting: the balancer may still send requests.
    Leaving,
    /// Refusing new requests while those accepted are finished.
    Draining,
    /// Nothing is left; the process may exit.
    Drained,
}

/// Turns a wish to stop and the count of requests into a [`DrainState`].
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
    /// Begins a shutdown; new requests are still accepted for `grace`.
    pub fn begin(&mut self, now: Moment, grace: Duration) {
        self.refuse_from.get_or_insert(now + grace);
    }

    /// The state, given the requests that wait or run.
    #[must_use]
    pub fn state(&self, now: Moment, open: usize) -> DrainState {
        match self.refuse_from {
            None => DrainState::Accepting,
            Some(from) if now < from => DrainState::Leaving,
            Some(_) if open > 0 => DrainState::Draining,
            Some(_) => DrainState::Drained,
        }
    }

    /// Whether new requests are accepted.
    #[must_use]
    pub fn accepts(&self, now: Moment) -> bool {
        self.refuse_from.is_none_or(|from| now < from)
    }

    /// When the state changes next by time alone.
    #[must_use]
    pub const fn next_wakeup(&self) -> Option<Moment> {
        self.refuse_from
    }
}
