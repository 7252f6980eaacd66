//! What a node has pledged to a planner, and to a node that takes over from one.
//!
//! Whoever extends a term without the store and whoever takes over have asked one node in common, and
//! that node answers only one of them.

use std::time::Duration;

use tanagerhub_clock::Moment;

use crate::groups::{TERM_GAP, TERM_LENGTH};

/// How long a promise not to plan holds.
const PROMISE_LENGTH: Duration = TERM_LENGTH.saturating_add(TERM_GAP);
/// How long after a consent, and after the promise that it had to wait for, a node promises nothing.
/// The planner's term ends meanwhile, and can't be extended any more.
const REFUSAL_LENGTH: Duration = Duration::from_secs(1);
/// How long after its start a node pledges nothing, since it may have pledged before.
const START_LENGTH: Duration = PROMISE_LENGTH.saturating_add(REFUSAL_LENGTH);

/// The pledges of one node.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use tanagerhub_clock::Moment;
/// use tanagerhub_groups::Pledge;
///
/// let start = Moment::ZERO;
/// let mut pledge = Pledge::default();
/// pledge.record_run(start);
/// let now = start + Duration::from_secs(5);
/// assert!(pledge.promise(now));
/// // A node that takes over waits, and the planner gets no promise any more.
/// assert_eq!(pledge.consent(now), Duration::from_millis(2_600));
/// assert!(!pledge.promise(now));
/// ```
#[derive(Debug, Clone, Copy, Default)]
pub struct Pledge {
    /// When the node started; `None` before it has run.
    started_at: Option<Moment>,
    /// Until when the node has promised not to become the planner.
    promised_until: Moment,
    /// Until when it promises nothing, because it has consented to a takeover.
    refuses_until: Moment,
}

impl Pledge {
    /// Records that the node runs; the first time is its start.
    pub fn record_run(&mut self, now: Moment) {
        self.started_at.get_or_insert(now);
    }

    /// Returns whether the node has promised a planner not to become it.
    #[must_use]
    pub fn is_bound(&self, now: Moment) -> bool {
        now < self.promised_until
    }

    /// Promises a planner not to become it, and to consent to no other node, for as long as a planner
    /// may be silent. Returns whether it did.
    pub fn promise(&mut self, now: Moment) -> bool {
        if now < self.ready_at(now) || now < self.refuses_until {
            return false;
        }
        self.promised_until = now + PROMISE_LENGTH;
        true
    }

    /// Consents that another node takes over after the returned time, which is zero unless the node
    /// has promised. It must be asked again then. Promises nothing until the planner's term has ended
    /// for good.
    pub fn consent(&mut self, now: Moment) -> Duration {
        let free_at = self.ready_at(now).max(self.promised_until).max(now);
        self.refuses_until = self.refuses_until.max(free_at + REFUSAL_LENGTH);
        free_at.since(now)
    }

    /// Returns when what the node may have pledged before its start holds no longer.
    fn ready_at(&self, now: Moment) -> Moment {
        self.started_at.unwrap_or(now) + START_LENGTH
    }
}
