//! How long a VM has not responded to probes.

use std::time::Duration;

use tanagerhub_clock::Moment;

/// The longest time from a probe to its result while this node runs. A later result means that the
/// node was suspended, and may have missed the response.
const MAX_PROBE_TIME: Duration = Duration::from_secs(1);
/// The longest time between two unanswered probes of one silence. It is longer than the interval at
/// which an unreachable VM is probed.
const MAX_PROBE_GAP: Duration = Duration::from_millis(2_500);

/// A period in which a VM left all probes unanswered.
#[derive(Debug, Clone, Copy)]
pub(super) struct Silence {
    /// When the first of the probes was sent.
    since: Moment,
    /// When the last of the probes failed.
    until: Moment,
}

impl Silence {
    /// Returns the silence after another unanswered probe, which was sent at `sent`.
    pub(super) fn extended(before: Option<Self>, now: Moment, sent: Moment) -> Self {
        let is_prompt = now.since(sent) <= MAX_PROBE_TIME;
        let before = before.filter(|before| is_prompt && sent.since(before.until) <= MAX_PROBE_GAP);
        let start = if is_prompt { sent } else { now };
        Self {
            since: before.map_or(start, |before| before.since),
            until: now,
        }
    }

    /// Returns how long the silence has lasted at `now`.
    pub(super) const fn length(self, now: Moment) -> Duration {
        now.since(self.since)
    }
}
