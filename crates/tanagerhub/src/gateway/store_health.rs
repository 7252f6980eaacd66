//! Limits the calls of one node to a store that doesn't respond.
//!
//! Each feed of a node retries on its own. In a large fleet the retries of all feeds of all nodes
//! are most of the store's load in an outage, although nearly all nodes learn of its end from a
//! peer.

use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use tanagerhub_clock::Moment;

/// The number of peers from which on a node limits its calls. The first nodes of each data centre
/// have fewer; they retry as often as their feeds want, and the others learn from them.
pub(crate) const MIN_PEERS: usize = 3;
/// The delay after a failed call; it doubles with each further failure.
const RETRY_DELAY: Duration = Duration::from_millis(500);
/// The maximum of the delay.
const MAX_RETRY_DELAY: Duration = Duration::from_secs(2);

/// Whether the store responds to this node, as all its feeds together have observed it.
#[derive(Debug, Default)]
pub(crate) struct StoreHealth(Mutex<Observed>);

#[derive(Debug, Default)]
struct Observed {
    /// The number of consecutive failed calls.
    failures: u32,
    /// The moment before which no further call begins after a failure.
    until: Moment,
}

impl StoreHealth {
    /// Returns whether a call may begin now. While the store doesn't respond, one call at a time
    /// checks it.
    pub(crate) fn begin_call(&self, now: Moment) -> bool {
        let mut observed = self.lock();
        if observed.failures == 0 {
            return true;
        }
        if now < observed.until {
            return false;
        }
        observed.until = now + MAX_RETRY_DELAY;
        true
    }

    /// Records whether the store has responded to a call.
    pub(crate) fn record_call(&self, now: Moment, responded: bool) {
        let mut observed = self.lock();
        if responded {
            observed.failures = 0;
            return;
        }
        let factor = 2_u32.saturating_pow(observed.failures);
        observed.failures = observed.failures.saturating_add(1);
        observed.until = now + RETRY_DELAY.saturating_mul(factor).min(MAX_RETRY_DELAY);
    }

    fn lock(&self) -> MutexGuard<'_, Observed> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

#[cfg(test)]
mod tests;
