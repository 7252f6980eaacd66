//! The objective of the first events of an entry.

use std::time::Duration;

use crate::decaying_mean::DecayingMean;
use crate::message::Ask;

/// The weight of a new ask in the mean.
const WEIGHT: f64 = 1.0 / 32.0;
/// The objective before any ask with one, which is that of a route without a setting.
const DEFAULT_OBJECTIVE: Duration = Duration::from_secs(1);

/// The mean time that new asks of an entry have left until their objectives.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct MeanObjective {
    seconds: Option<DecayingMean>,
}

impl MeanObjective {
    /// Counts an ask, unless it has no objective or that has passed.
    pub(super) fn record(&mut self, ask: &Ask) {
        let objective = ask.objective().filter(|it| !it.is_zero());
        if let Some(objective) = objective {
            let new = objective.as_secs_f64();
            self.seconds
                .get_or_insert(DecayingMean::starting_at(new))
                .record(new, WEIGHT);
        }
    }

    /// Returns the mean, or the default before any ask with an objective.
    pub(super) fn mean(self) -> Duration {
        self.seconds.map_or(DEFAULT_OBJECTIVE, |mean| {
            Duration::from_secs_f64(mean.value())
        })
    }
}
