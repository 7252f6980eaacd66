//! Settings of the group state machine.

use std::time::Duration;

/// Settings of the group state machine.
#[derive(Debug, Clone, PartialEq)]
pub struct GroupsSettings {
    /// The boot id, drawn at each start of the node and written into the planner's row.
    pub boot: u64,
    /// Whether the whole system starts for the first time, so that no requests arrive yet.
    pub first_start: bool,
    /// How long the planner's row must stay unchanged before it is taken over, if its boot id is
    /// neither known as live nor as ended.
    pub unknown_planner_timeout: Duration,
    /// Interval between two probes of a healthy member.
    pub probe_interval: Duration,
    /// The number of probes in flight up to which VMs are probed in turn. Probes because of a
    /// suspicion are sent beyond it.
    pub pending_probes: usize,
    /// The shortest interval between two probes of any VM while the store is unreachable.
    pub outage_probe_interval: Duration,
    /// The maximum number of probes that a node sends in a second while the store is unreachable.
    pub outage_probe_rate: f64,
    /// The maximum number of probes that all nodes send in a second together, unless
    /// [`outage_probe_rate_min`] requires more.
    ///
    /// [`outage_probe_rate_min`]: Self::outage_probe_rate_min
    pub outage_probe_rate_total: f64,
    /// The number of probes that each node may always send in a second, however many nodes there
    /// are.
    pub outage_probe_rate_min: f64,
    /// Interval between two probes of a VM that failed its last probe.
    pub probe_retry_interval: Duration,
    /// The number of consecutive failed probes after which a VM counts as unreachable.
    pub probe_failure_limit: u32,
    /// How long a VM may leave probes unanswered, as a VM that stands still for a short time does,
    /// before its place is given to another VM. Requests avoid it from the first failures on.
    pub silence_timeout: Duration,
    /// How long a VM may reject probes, as an overloaded VM does, before it counts as unreachable.
    pub busy_timeout: Duration,
    /// Time after which an order without effect is sent again.
    pub order_retry_interval: Duration,
    /// Time after which a change that the store refused is sent again.
    pub change_retry_delay: Duration,
    /// How long the head of a group may finish its requests before a member is replaced.
    pub close_timeout: Duration,
    /// How long an unreachable head may continue to serve on its own.
    pub stall_timeout: Duration,
    /// How long after an outage of the store the VMs that disappeared in it may be listed again.
    pub relist_grace: Duration,
    /// The number of VMs in each domain that are kept free for repairs.
    pub spares: SpareRule,
}

/// The number of VMs in a domain that are kept free for repairs.
///
/// VMs fail independently, so a larger domain needs a smaller share of its VMs to replace those
/// that fail at the same time.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct SpareRule {
    /// The upper limit as a share of the domain's VMs; it applies to small domains.
    pub max_share: f64,
    /// The number of VMs that every domain keeps free.
    pub base: f64,
    /// The number of further VMs kept free, as a share of the domain's VMs.
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
    /// Returns how many VMs a domain of `vms` VMs keeps free for repairs.
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
        let limit = vms * self.max_share;
        limit.min(self.base + vms * self.rate).round() as usize
    }
}

impl Default for GroupsSettings {
    fn default() -> Self {
        Self {
            boot: 0,
            first_start: false,
            unknown_planner_timeout: Duration::from_millis(2_600),
            probe_interval: Duration::from_secs(2),
            pending_probes: 32,
            outage_probe_interval: Duration::from_millis(500),
            outage_probe_rate: 120.0,
            outage_probe_rate_total: 960.0,
            outage_probe_rate_min: 25.0,
            probe_retry_interval: Duration::from_millis(50),
            probe_failure_limit: 2,
            silence_timeout: Duration::from_millis(1_500),
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
    /// Sets the boot id of this start of the node.
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

    /// Sets how long an unreachable head may continue to serve on its own.
    #[must_use]
    pub const fn stall_timeout(mut self, stall_timeout: Duration) -> Self {
        self.stall_timeout = stall_timeout;
        self
    }
}
