//! A mean in which new measurements count more than old ones.

/// A mean with exponentially falling weights, which starts at 0 unless told otherwise.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct DecayingMean(f64);

impl DecayingMean {
    /// Creates a mean that starts at a value.
    pub(crate) const fn starting_at(value: f64) -> Self {
        Self(value)
    }

    /// Adds a measurement, which moves the mean by this part of the difference.
    pub(crate) fn record(&mut self, measured: f64, weight: f64) {
        self.0 += weight * (measured - self.0);
    }

    /// Returns the mean.
    pub(crate) const fn value(self) -> f64 {
        self.0
    }
}
