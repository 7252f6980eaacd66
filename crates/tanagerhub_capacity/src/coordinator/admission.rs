//! Whether an ask may go to a group now, by the first bytes that are expected there.

use std::time::Duration;

use tanagerhub_clock::Moment;

use super::placement::Candidate;
use crate::message::Ask;
use crate::wait_queue::{WaitKey, Waiting};

/// The part of the entry's objective by which the prompts that a group reads may always delay a
/// first byte. Without it, groups of which none can meet the objective would get one request at a
/// time.
const READING_ALLOWANCE: f64 = 0.25;
/// After the grant of an overdue ask, the first byte of a following one may use up this part of the
/// time between that at an idle group and the objective.
const OVERDUE_PART: f64 = 0.5;
/// The part of a group's limit up to which overdue asks may use it. The rest is for asks that can
/// still be on time, which would otherwise wait until a request ends.
const OVERDUE_USE: f64 = 0.9;

/// The latest first byte that an ask may be granted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum FirstByteBound {
    /// None: the ask has no objective.
    Any,
    /// Within the time that the ask has left.
    InTime(Duration),
    /// Early enough that a following ask of the entry can be on time: the ask itself can't.
    Overdue,
    /// Within the objective of the entry: an urgency that is below its floor goes first once.
    Floor,
}

impl FirstByteBound {
    /// Returns the bound of a waiting ask.
    pub(super) fn of(now: Moment, key: WaitKey, waiting: &Waiting) -> Self {
        match waiting.objective_at {
            _ if key.overdue => Self::Overdue,
            Some(at) => Self::InTime(at.since(now)),
            None => Self::Any,
        }
    }

    /// Whether an ask that no group may take now leaves them to the asks behind it.
    pub(super) const fn yields(self) -> bool {
        matches!(self, Self::Overdue)
    }

    /// Whether an ask may go to a group; always to one that has no requests or has not been
    /// measured, so that a wrong estimate can't close it for ever.
    ///
    /// `fastest` is the wait of the ask that few requests exceed at the fastest group of the entry
    /// while that reads nothing else.
    pub(super) fn admits(
        self,
        candidate: &Candidate,
        ask: &Ask,
        objective: Duration,
        fastest: Duration,
    ) -> bool {
        let Some(expected) = candidate.expected else {
            return true;
        };
        let is_plain = candidate.group.memory_tokens.is_none();
        if is_plain || candidate.load.requests == 0 {
            return true;
        }
        let own = f64::from(ask.prompt_tokens);
        let first_byte = expected.at_most(candidate.reading_tokens() + own);
        // Asks get this much more time where no group can meet the objective.
        let latest = fastest + objective.mul_f64(READING_ALLOWANCE);
        let extra = latest.saturating_sub(objective);
        match self {
            Self::Any => true,
            Self::InTime(left) => first_byte <= left + extra,
            Self::Overdue => {
                let slack = (objective + extra).saturating_sub(fastest);
                let following = expected.at_most(candidate.reading_tokens() + 2.0 * own);
                candidate.is_used_below(OVERDUE_USE)
                    && following <= fastest + slack.mul_f64(OVERDUE_PART)
            }
            Self::Floor => first_byte <= objective + extra,
        }
    }
}

/// Returns how long before its objective a waiting ask can't be on time any more, if the fastest
/// group needs `fastest`. An entry whose groups all need longer must not have overdue asks only.
pub(super) fn latest_grant(fastest: Duration, objective: Duration) -> Duration {
    fastest.min(objective.mul_f64(1.0 - READING_ALLOWANCE))
}
