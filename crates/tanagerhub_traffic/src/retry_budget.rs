//! A bound on extra attempts.

/// Grants extra attempts in proportion to requests.
///
/// Over any span, extra attempts are at most `ratio` times the requests plus `burst`.
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
    /// Starts full.
    #[must_use]
    pub const fn new(ratio: f64, burst: f64) -> Self {
        Self {
            ratio,
            burst,
            level: burst,
        }
    }

    /// Sets what each request adds.
    pub const fn set_ratio(&mut self, ratio: f64) {
        self.ratio = ratio;
    }

    /// Sets how many attempts may be saved up.
    pub const fn set_burst(&mut self, burst: f64) {
        self.burst = burst;
        self.level = self.level.min(burst);
    }

    /// The same budget with nothing in it yet.
    #[must_use]
    pub const fn emptied(mut self) -> Self {
        self.level = 0.0;
        self
    }

    /// Counts a request.
    pub fn deposit(&mut self) {
        self.level = (self.level + self.ratio).min(self.burst);
    }

    /// Takes one extra attempt, if there is one.
    pub fn withdraw(&mut self) -> bool {
        let granted = self.level >= 1.0;
        if granted {
            self.level -= 1.0;
        }
        granted
    }

    /// Takes one extra attempt, but leaves half of the burst to others.
    pub fn withdraw_spare(&mut self) -> bool {
        self.has_spare() && self.withdraw()
    }

    /// Whether an extra attempt is left.
    #[must_use]
    pub fn has_one(&self) -> bool {
        self.level >= 1.0
    }

    /// Whether more than half of the burst is left.
    #[must_use]
    pub fn has_spare(&self) -> bool {
        self.level >= 1.0 + self.burst / 2.0
    }

    /// Extra attempts left.
    #[must_use]
    pub const fn level(&self) -> f64 {
        self.level
    }
}
