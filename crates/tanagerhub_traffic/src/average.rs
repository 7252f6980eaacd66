//! A moving average.

/// An exponentially weighted moving average.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Average {
    value: Option<f64>,
}

/// The weight of a new observation.
const WEIGHT: f64 = 0.1;

impl Average {
    /// Takes in an observation.
    pub(crate) fn observe(&mut self, sample: f64) {
        self.value = Some(match self.value {
            Some(value) => value + WEIGHT * (sample - value),
            None => sample,
        });
    }

    /// The average, if anything was observed.
    pub(crate) const fn get(self) -> Option<f64> {
        self.value
    }
}
