//! The time that a group needs for its work.

use std::time::Duration;

use tanagerhub_clock::Moment;

use crate::decaying_mean::DecayingMean;

/// The weight of a new measurement in the mean.
const WEIGHT: f64 = 0.125;
/// A mean without new measurements is forgotten after this time.
const MAX_AGE: Duration = Duration::from_secs(10);

/// The mean time per token, or per first byte, of a group.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct ServiceTime {
    mean: Option<(Moment, DecayingMean)>,
}

impl ServiceTime {
    /// Adds a measurement, in seconds.
    pub(crate) fn record(&mut self, now: Moment, seconds: f64) {
        let recent = self.recent(now);
        let mut mean = recent.unwrap_or(DecayingMean::starting_at(seconds));
        mean.record(seconds, WEIGHT);
        self.mean = Some((now, mean));
    }

    /// Returns the mean, in seconds, if it is recent.
    pub(crate) fn mean(&self, now: Moment) -> Option<f64> {
        self.recent(now).map(DecayingMean::value)
    }

    fn recent(&self, now: Moment) -> Option<DecayingMean> {
        self.mean
            .filter(|&(at, _)| now.since(at) < MAX_AGE)
            .map(|(_, mean)| mean)
    }
}

/// Returns the median of measurements, or `None` without any.
pub(crate) fn median(mut values: Vec<f64>) -> Option<f64> {
    values.sort_by(f64::total_cmp);
    let middle = values.len() / 2;
    if values.len() % 2 == 1 {
        return values.get(middle).copied();
    }
    let lower = values.get(middle.checked_sub(1)?)?;
    Some(f64::midpoint(*lower, *values.get(middle)?))
}
