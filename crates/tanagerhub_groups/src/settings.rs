//! Settings of the decisions on groups.

use std::time::Duration;

/// Settings of the decisions on groups.
#[derive(Debug, Clone, PartialEq)]
pub struct GroupsSettings {
    /// Drawn at each start of the node, and written into the planner's row.
    pub boot: u64,
    /// Whether the whole system starts for the first time.
    pub first_start: bool,
    /// How long the planner's row of an unknown node must stay as it is to be taken.
    pub unknown_planner_timeout: Duration,
    /// Time between two probes of a member that is believed healthy.
    pub probe_interval: Duration,
    /// Time between two probes of any VM while the store does not answer.
    pub outage_probe_interval: Duration,
    /// The most probes that a node sends in a second while the store does not answer.
    pub outage_probe_rate: f64,
    /// The most that all nodes send in a second together, as long as each sends [`outage_probe_rate_min`].
    ///
    /// [`outage_probe_rate_min`]: Self::outage_probe_rate_min
    pub outage_probe_rate_total: f64,
    /// What each node may send in a second, however many there are.
    pub outage_probe_rate_min: f64,
    /// Time between two probes of a VM that did not answer.
    pub probe_retry_interval: Duration,
    /// Unanswered probes in a row after which a VM counts as lost.
    pub probe_failure_limit: u32,
    /// How long a VM may turn probes away, as one does that has too much to do, before it counts
    /// as lost.
    pub busy_timeout: Duration,
    /// Time after which an order that had no effect is sent again.
    pub order_retry_interval: Duration,
    /// Time after which a change that the store refused is tried again.
    pub change_retry_delay: Duration,
    /// How long the head of a group may finish its requests before a member is replaced.
    pub close_timeout: Duration,
    /// How long a head that is out of reach may go on serving by itself.
    pub stall_timeout: Duration,
    /// How long after an outage of the store VMs that vanished in it may be listed again.
    pub relist_grace: Duration,
    /// How many of a domain's VMs are kept free for repairs.
    pub spares: SpareRule,
}

/// How many of a domain's VMs are kept free for repairs.
///
/// VMs are lost one by one, so a larger domain needs a smaller part of its VMs to replace those
/// that are lost at the same time.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct SpareRule {
    /// The most, as a share of the VMs; it binds in small domains.
    pub max_share: f64,
    /// What any domain keeps.
    pub base: f64,
    /// What it keeps beyond that, as a share of the VMs.
    pub rate: f64,
}

impl Default for SpareRule {
    fn default() -> Self {
        Self {
            max_share: 0.2,
            base: 1.0,
            rate: 1.0 / 16.0,
        }
    }
}

impl SpareRule {
    /// The VMs that a domain of so many keeps free.
    ///
    /// # Examples
    ///
    /// ```
    /// use tanagerhub_groups::SpareRule;
    ///
    /// let rule = SpareRule::default();
    /// assert_eq!([2, 10, 18, 64].map(|vms| rule.count(vms)), [0, 2, 2, 5]);
    /// ```
    #[must_use]
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        clippy::cast_precision_loss,
        reason = "a domain has few VMs, and shares lie between 0 and 1"
    )]
    pub fn count(&self, vms: usize) -> usize {
        let vms = vms as f64;
        let most = vms * self.max_share;
        most.min(self.base + vms * self.rate).round() as usize
    }
}

impl Default for GroupsSettings {
    fn default() -> Self {
        Self {
            boot: 0,
            first_start: false,
            unknown_planner_timeout: Duration::from_millis(1_500),
            probe_interval: Duration::from_secs(2),
            outage_probe_interval: Duration::from_millis(500),
            outage_probe_rate: 120.0,
            outage_probe_rate_total: 960.0,
            outage_probe_rate_min: 25.0,
            probe_retry_interval: Duration::from_millis(50),
            probe_failure_limit: 2,
            busy_timeout: Duration::from_secs(4),
            order_retry_interval: Duration::from_secs(1),
            change_retry_delay: Duration::from_millis(500),
            close_timeout: Duration::from_millis(2_500),
            stall_timeout: Duration::from_secs(6),
            relist_grace: Duration::from_millis(1_800),
            spares: SpareRule::default(),
        }
    }
}

impl GroupsSettings {
    /// Sets the number of this start of the node.
    #[must_use]
    pub const fn boot(mut self, boot: u64) -> Self {
        self.boot = boot;
        self
    }

    /// Sets whether the whole system starts for the first time.
    #[must_use]
    pub const fn first_start(mut self, first: bool) -> Self {
        self.first_start = first;
        self
    }

    /// Sets how long a head that is out of reach may go on serving by itself.
    #[must_use]
    pub const fn stall_timeout(mut self, stall_timeout: Duration) -> Self {
        self.stall_timeout = stall_timeout;
        self
    }
}
