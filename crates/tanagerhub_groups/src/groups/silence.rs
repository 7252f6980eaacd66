//! How long a VM has not responded to probes.

use std::time::Duration;

use tanagerhub_clock::Moment;

/// The longest time from a probe to its result while this node runs. A later result means that the
/// node was suspended, and may have missed the response.
const MAX_PROBE_TIME: Duration = Duration::from_secs(1);
/// The longest time between two unanswered probes of one silence. It is longer than the interval at
/// which an unreachable VM is probed.
const MAX_PROBE_GAP: Duration = Duration::from_millis(2_500);

/// The number of probes after the timeout that a VM must leave unanswered, so that a single late
/// response doesn't decide.
const MIN_LATE_PROBES: u32 = 2;

/// A period in which a VM left all probes unanswered.
#[derive(Debug, Clone, Copy)]
pub(super) struct Silence {
    /// When the first of the probes was sent.
    since: Moment,
    /// When the last of the probes failed.
    until: Moment,
    /// The number of probes that were sent after the timeout.
    late_probes: u32,
}

impl Silence {
    /// Returns the silence after another unanswered probe, which was sent at `sent`.
    pub(super) fn extended(
        before: Option<Self>,
        now: Moment,
        sent: Moment,
        timeout: Duration,
    ) -> Self {
        let is_prompt = now.since(sent) <= MAX_PROBE_TIME;
        let before = before.filter(|before| is_prompt && sent.since(before.until) <= MAX_PROBE_GAP);
        let start = if is_prompt { sent } else { now };
        let since = before.map_or(start, |before| before.since);
        let is_late = sent.since(since) >= timeout;
        Self {
            since,
            until: now,
            late_probes: before.map_or(0, |before| before.late_probes) + u32::from(is_late),
        }
    }

    /// Returns whether the VM will not go on.
    pub(super) const fn is_final(self) -> bool {
        self.late_probes >= MIN_LATE_PROBES
    }

    /// Returns how long the silence has lasted at `now`.
    pub(super) const fn length(self, now: Moment) -> Duration {
        now.since(self.since)
    }
}
