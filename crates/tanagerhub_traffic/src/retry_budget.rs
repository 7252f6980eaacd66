//! A limit on extra attempts.

/// Allows extra attempts in proportion to requests.
///
/// In any period, extra attempts are at most `ratio` times the requests plus `burst`.
///
/// # Examples
///
/// ```
/// use tanagerhub_traffic::RetryBudget;
///
/// let mut budget = RetryBudget::new(0.5, 1.0);
/// assert!(budget.withdraw());
/// assert!(!budget.withdraw());
/// budget.deposit();
/// budget.deposit();
/// assert!(budget.withdraw());
/// ```
#[derive(Debug, Clone)]
pub struct RetryBudget {
    ratio: f64,
    burst: f64,
    level: f64,
}

impl RetryBudget {
    /// Creates a budget that starts with a full burst.
    #[must_use]
    pub const fn new(ratio: f64, burst: f64) -> Self {
        Self {
            ratio,
            burst,
            level: burst,
        }
    }

    /// Sets the extra attempts that each request adds.
    pub const fn set_ratio(&mut self, ratio: f64) {
        self.ratio = ratio;
    }

    /// Sets the maximum number of extra attempts that may accumulate.
    pub const fn set_burst(&mut self, burst: f64) {
        self.burst = burst;
        self.level = self.level.min(burst);
    }

    /// Returns the same budget with no extra attempts in it.
    #[must_use]
    pub const fn emptied(mut self) -> Self {
        self.level = 0.0;
        self
    }

    /// Adds `ratio` extra attempts for one request, up to the burst.
    pub fn deposit(&mut self) {
        self.level = (self.level + self.ratio).min(self.burst);
    }

    /// Takes one extra attempt if one is left. Returns whether it was taken.
    pub fn withdraw(&mut self) -> bool {
        let granted = self.level >= 1.0;
        if granted {
            self.level -= 1.0;
        }
        granted
    }

    /// Takes one extra attempt only if at least half of the burst remains afterwards, so that
    /// optional attempts don't use up the budget of retries.
    pub fn withdraw_spare(&mut self) -> bool {
        self.has_spare() && self.withdraw()
    }

    /// Whether at least one extra attempt is left.
    #[must_use]
    pub fn has_one(&self) -> bool {
        self.level >= 1.0
    }

    /// Whether at least half of the burst remains after one more extra attempt.
    #[must_use]
    pub fn has_spare(&self) -> bool {
        self.level >= 1.0 + self.burst / 2.0
    }

    /// Returns the number of extra attempts left, with fractions.
    #[must_use]
    pub const fn level(&self) -> f64 {
        self.level
    }
}
