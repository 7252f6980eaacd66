//! The times on which the safety of loans and grants rests.

use std::time::Duration;

/// How long a coordinator counts a loan after it sent the reply that the lender last received.
///
/// Nodes report every 400 ms, so a loan outlasts two lost datagrams.
pub const LOAN: Duration = Duration::from_millis(1_200);
/// The period in which the number of starts is limited: the second in which a backend server
/// counts them, plus [`GRANT`], because a grant may be used that much later.
///
/// A share also stays unused for this time whenever its user changes.
pub const START_WINDOW: Duration = Duration::from_millis(1_100);
/// How long after its sending a grant may be used.
pub const GRANT: Duration = Duration::from_millis(100);
/// How long the last report of a node counts.
pub const REPORT: Duration = Duration::from_secs(3);
/// The minimum time between replies to a node that asks for nothing.
pub(crate) const REPLY_INTERVAL: Duration = Duration::from_millis(300);
/// How long a coordinator that is not first in the order keeps its lenders.
///
/// Nodes' views of the order differ for about a second after a change of membership.
pub(crate) const RELEASE_DELAY: Duration = Duration::from_secs(2);
/// The time between releases, so that the next coordinator receives the lenders gradually.
pub(crate) const RELEASE_INTERVAL: Duration = Duration::from_millis(20);
/// How long a decision is kept for an ask that arrives again.
pub(crate) const DECIDED: Duration = Duration::from_secs(1);
