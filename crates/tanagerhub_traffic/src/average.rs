//! A moving average with its mean deviation.

/// An exponentially weighted moving average and mean absolute deviation.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Average {
    value: Option<f64>,
    deviation: f64,
}

/// Weight of a new observation.
const OBSERVATION_WEIGHT: f64 = 0.1;

/// Number of mean deviations above the average that few observations exceed.
const UPPER_DEVIATIONS: f64 = 3.0;

impl Average {
    /// Adds an observation.
    pub(crate) fn observe(&mut self, sample: f64) {
        let Some(value) = self.value else {
            self.value = Some(sample);
            return;
        };
        let error = sample - value;
        self.value = Some(value + OBSERVATION_WEIGHT * error);
        self.deviation += OBSERVATION_WEIGHT * (error.abs() - self.deviation);
    }

    /// Returns a value that few observations exceed: the average plus three mean deviations.
    pub(crate) fn upper_estimate(self) -> Option<f64> {
        self.value
            .map(|value| value + UPPER_DEVIATIONS * self.deviation)
    }

    /// Returns the average, or `None` before the first observation.
    pub(crate) const fn get(self) -> Option<f64> {
        self.value
    }
}
