//! State of one group at this node.

use std::collections::VecDeque;
use std::time::Duration;

use tanagerhub_capacity::START_WINDOW;
use tanagerhub_catalogue::Epoch;
use tanagerhub_clock::Moment;

use crate::Route;
use crate::average::Average;
use crate::group_memory::GroupMemory;

/// Period over which starts of requests are counted.
const STARTS_WINDOW: Duration = Duration::from_secs(1);
/// Minimum time between two reports to the control thread that a group is complete.
const COMPLETE_REPORT_INTERVAL: Duration = Duration::from_millis(500);
/// Age at which a load report is no longer used.
const LOAD_REPORT_MAX_AGE: Duration = Duration::from_secs(3);
/// Number of consecutive timeouts from which on each one counts as a failure of the group.
const MAX_CONSECUTIVE_TIMEOUTS: u32 = 2;
/// Maximum slowness of a group, relative to the usual wait for a first byte.
const MAX_SLOWNESS: f64 = 16.0;
/// Age at which a measured slowness is no longer used.
const SLOWNESS_MAX_AGE: Duration = Duration::from_secs(10);

/// Limits that are the same for every group.
#[derive(Debug, Clone, Copy)]
pub(crate) struct GroupLimits {
    /// Requests without a first byte that may be in flight from this node.
    pub(crate) first_byte_window: u32,
    /// Consecutive failures after which the group is suspended.
    pub(crate) failures: u32,
    /// How long it is suspended if no newer attestation arrives.
    pub(crate) suspension: Duration,
}

/// Initial pace window: number of requests without a first byte at which a group gets no further
/// request with an objective.
const INITIAL_PACE_WINDOW: f64 = 4.0;
/// Maximum pace window, in requests.
const MAX_PACE_WINDOW: f64 = 32.0;
/// Fraction of the objective within which a first byte counts as on time.
const ON_TIME_RATIO: f64 = 0.9;
/// Factor by which a late first byte reduces the pace window.
const PACE_DECREASE_FACTOR: f64 = 0.7;
/// Minimum time between two reductions of the pace window: late first bytes come in bursts, and one
/// burst should reduce it once.
const PACE_DECREASE_INTERVAL: Duration = Duration::from_millis(200);

/// A group and this node's requests there.
#[derive(Debug)]
pub(crate) struct Group {
    pub(crate) route: Route,
    /// Whether the newest routes contain the group.
    pub(crate) listed: bool,
    /// Requests in flight from this node.
    pub(crate) in_flight: u32,
    /// Number of these requests without a first byte.
    pub(crate) awaiting_first_byte: u32,
    /// Number of these requests suspected of crashing backend servers.
    pub(crate) suspects: u32,
    limits: GroupLimits,
    first_byte_window: u32,
    /// Window for requests with an objective, adjusted in fractions of a request.
    pace_window: f64,
    pace_decreased_at: Moment,
    /// Requests of other nodes in the newest load report.
    other_load: u32,
    load_reported_at: Moment,
    /// Requests of this node in the newest load report.
    own_reported_load: u32,
    first_byte: Average,
    first_byte_measured_at: Moment,
    complete_reported_at: Moment,
    consecutive_timeouts: u32,
    consecutive_failures: u32,
    /// Start times of requests within the window in which they are limited, oldest first.
    starts: VecDeque<Moment>,
    suspended_at: Option<Moment>,
    cold_since: Option<Moment>,
    memory: GroupMemory,
}

impl Group {
    pub(crate) fn new(now: Moment, route: Route, limits: GroupLimits) -> Self {
        let mut group = Self {
            route,
            listed: true,
            in_flight: 0,
            awaiting_first_byte: 0,
            suspects: 0,
            limits,
            first_byte_window: limits.first_byte_window,
            pace_window: INITIAL_PACE_WINDOW,
            pace_decreased_at: Moment::ZERO,
            other_load: 0,
            load_reported_at: Moment::ZERO,
            own_reported_load: 0,
            first_byte: Average::default(),
            first_byte_measured_at: now,
            complete_reported_at: Moment::ZERO,
            consecutive_timeouts: 0,
            consecutive_failures: 0,
            starts: VecDeque::new(),
            suspended_at: None,
            cold_since: None,
            memory: GroupMemory::default(),
        };
        group.apply_load_report(now);
        group
    }

    /// Applies a newer route of the group.
    pub(crate) fn update(&mut self, now: Moment, route: Route) {
        let epoch_changed = route.epoch != self.route.epoch;
        let attested_at = now.before(route.attested);
        self.route = route;
        self.listed = true;
        if epoch_changed {
            self.first_byte_window = self.limits.first_byte_window;
            self.consecutive_failures = 0;
            self.first_byte = Average::default();
            self.suspended_at = None;
            self.cold_since = None;
        }
        if self
            .suspended_at
            .is_some_and(|suspended_at| attested_at > suspended_at)
        {
            self.suspended_at = None;
        }
        let superseded = |since| self.route.cold.is_some() || attested_at > since;
        if self.cold_since.is_some_and(superseded) {
            self.cold_since = None;
        }
        self.apply_load_report(now);
    }

    fn apply_load_report(&mut self, now: Moment) {
        let Some(load) = self.route.load else {
            return;
        };
        let total = load.running.saturating_add(load.waiting);
        self.own_reported_load = self.in_flight.min(total);
        self.other_load = total - self.own_reported_load;
        self.load_reported_at = now.before(load.age);
    }

    /// Whether one more request may be sent, given the entry's concurrency limit per group.
    pub(crate) fn has_room(&self, now: Moment, concurrency_limit: u32, live_nodes: u32) -> bool {
        self.takes_work(now)
            && self.awaiting_first_byte < self.first_byte_window
            && self.in_flight < self.in_flight_limit(now, concurrency_limit, live_nodes)
            && self.may_start(now)
    }

    /// Whether a request may be sent that a coordinator granted, which knows the load over all
    /// nodes but not what this node knows about the group.
    pub(crate) fn takes_grant(&self, now: Moment, epoch: Epoch) -> bool {
        let warm = match self.route.cold {
            Some(slots) => self.in_flight < slots,
            None => self.cold_since.is_none(),
        };
        warm && self.route.epoch == epoch && self.takes_work(now)
    }

    pub(crate) fn takes_work(&self, now: Moment) -> bool {
        let suspended = |suspended_at| now.since(suspended_at) < self.limits.suspension;
        self.route.takes_work() && !self.suspended_at.is_some_and(suspended)
    }

    /// Returns how many requests this node may have in flight.
    fn in_flight_limit(&self, now: Moment, concurrency_limit: u32, live_nodes: u32) -> u32 {
        if let Some(slots) = self.route.cold {
            return slots;
        }
        if self.cold_since.is_some() {
            return 0;
        }
        if let Some(slots) = self.route.slots {
            return slots;
        }
        let sending_nodes = match self.route.sending_nodes {
            0 => live_nodes.max(1),
            sending_nodes => sending_nodes,
        };
        let equal_share = concurrency_limit.div_ceil(sending_nodes).max(1);
        if self.route.load.is_none() || now.since(self.load_reported_at) > LOAD_REPORT_MAX_AGE {
            return equal_share;
        }
        let spare = concurrency_limit.saturating_sub(self.other_load + self.own_reported_load);
        equal_share.max(self.own_reported_load + spare / sending_nodes)
    }

    /// Estimates the requests at the group from all nodes.
    ///
    /// The reported load of other nodes counts less as the report ages.
    pub(crate) fn load(&self, now: Moment) -> f64 {
        let age = now.since(self.load_reported_at);
        let max_age = LOAD_REPORT_MAX_AGE.as_secs_f64();
        let freshness_weight = (1.0 - age.as_secs_f64() / max_age).max(0.0);
        f64::from(self.in_flight) + f64::from(self.other_load) * freshness_weight
    }

    /// Returns how many times slower than usual the group's first bytes are; at least 1.
    ///
    /// The measurement counts less as it ages.
    pub(crate) fn slowness(&self, now: Moment, usual_first_byte: Option<f64>) -> f64 {
        let (Some(own_first_byte), Some(usual_first_byte)) =
            (self.first_byte.get(), usual_first_byte)
        else {
            return 1.0;
        };
        if usual_first_byte <= 0.0 {
            return 1.0;
        }
        let age =
            now.since(self.first_byte_measured_at).as_secs_f64() / SLOWNESS_MAX_AGE.as_secs_f64();
        let freshness_weight = (1.0 - age).max(0.0);
        1.0 + ((own_first_byte / usual_first_byte).clamp(1.0, MAX_SLOWNESS) - 1.0)
            * freshness_weight
    }

    /// Records that a request was sent.
    pub(crate) fn start(&mut self, now: Moment, suspect: bool) {
        if self.route.starts.is_some() {
            self.drop_old_starts(now);
            self.starts.push_back(now);
        }
        self.in_flight += 1;
        self.awaiting_first_byte += 1;
        if suspect {
            self.suspects += 1;
        }
    }

    /// Records the tokens of a request that was sent, whose entry's requests have `mean_tokens`.
    pub(crate) fn hold_tokens(&mut self, now: Moment, tokens: u64, mean_tokens: f64) {
        self.memory.hold(tokens, mean_tokens);
        if self.is_over_memory(now) {
            self.memory.exceeded = Some(self.route.epoch);
        }
    }

    /// Records that a request with these tokens has ended.
    pub(crate) const fn release_tokens(&mut self, tokens: u64) {
        self.memory.release(tokens);
    }

    /// Records a sign of life: what the group has held until now has not crashed it.
    pub(crate) fn record_survival(&mut self, now: Moment, epoch: Epoch) {
        if self.memory.exceeded == Some(epoch) && !self.is_over_memory(now) {
            self.memory.exceeded = None;
        }
    }

    /// Returns whether the group has held more tokens than its memory since its last sign of life,
    /// although a request with `tokens` alone fits.
    pub(crate) fn has_exceeded_memory(&self, epoch: Epoch, tokens: u64) -> bool {
        let fits = self.route.memory_tokens.is_some_and(|it| tokens <= it);
        fits && self.memory.exceeded == Some(epoch)
    }

    fn is_over_memory(&self, now: Moment) -> bool {
        let is_recent = now.since(self.load_reported_at) <= LOAD_REPORT_MAX_AGE;
        let others = if is_recent { self.other_load } else { 0 };
        let limit = self.route.memory_tokens;
        limit.is_some_and(|limit| self.memory.is_over(limit, others))
    }

    /// Records that an attempt at the group has ended.
    pub(crate) const fn end(&mut self, has_first_byte: bool, suspect: bool) {
        self.in_flight = self.in_flight.saturating_sub(1);
        if !has_first_byte {
            self.awaiting_first_byte = self.awaiting_first_byte.saturating_sub(1);
        }
        if suspect {
            self.suspects = self.suspects.saturating_sub(1);
        }
    }

    /// Whether one more request with an objective may be sent.
    pub(crate) fn has_pace_room(&self) -> bool {
        f64::from(self.awaiting_first_byte) < self.pace_window
    }

    /// Adjusts the pace window by the wait for the first byte of a request with an objective.
    pub(crate) fn update_pace(&mut self, now: Moment, wait: Duration, objective: Duration) {
        if wait <= objective.mul_f64(ON_TIME_RATIO) {
            self.pace_window = (self.pace_window + 1.0 / self.pace_window).min(MAX_PACE_WINDOW);
        } else if now.since(self.pace_decreased_at) >= PACE_DECREASE_INTERVAL {
            self.pace_decreased_at = now;
            self.pace_window = (self.pace_window * PACE_DECREASE_FACTOR).max(1.0);
        }
    }

    /// Records a first byte and enlarges the window by one request.
    pub(crate) fn first_byte(&mut self, now: Moment, wait: Duration) {
        self.awaiting_first_byte = self.awaiting_first_byte.saturating_sub(1);
        self.first_byte_window = self
            .first_byte_window
            .saturating_add(1)
            .min(self.limits.first_byte_window);
        self.consecutive_timeouts = 0;
        self.consecutive_failures = 0;
        self.first_byte.observe(wait.as_secs_f64());
        self.first_byte_measured_at = now;
    }

    /// Returns whether to report to the control thread that the group is complete, which a received
    /// token proves. Returns `true` at most once per [`COMPLETE_REPORT_INTERVAL`].
    pub(crate) fn should_report_complete(&mut self, now: Moment) -> bool {
        let is_new = now.since(self.complete_reported_at) >= COMPLETE_REPORT_INTERVAL;
        if is_new {
            self.complete_reported_at = now;
        }
        is_new
    }

    /// Halves the window after the group refused a request.
    pub(crate) fn refused(&mut self) {
        self.first_byte_window = (self.first_byte_window / 2).max(1);
    }

    /// Records an overdue response. From [`MAX_CONSECUTIVE_TIMEOUTS`] in a row on, each one counts
    /// as a failure of the group.
    pub(crate) fn timed_out(&mut self, now: Moment, wait: Duration) {
        self.refused();
        self.first_byte.observe(wait.as_secs_f64());
        self.first_byte_measured_at = now;
        self.consecutive_timeouts += 1;
        if self.consecutive_timeouts >= MAX_CONSECUTIVE_TIMEOUTS {
            self.record_failure(now);
        }
    }

    /// Records a failure. The last of the allowed consecutive failures suspends the group.
    pub(crate) const fn record_failure(&mut self, now: Moment) {
        self.consecutive_failures = self.consecutive_failures.saturating_add(1);
        if self.consecutive_failures < self.limits.failures {
            return;
        }
        self.suspend(now);
    }

    /// Suspends the group: it gets no requests until a newer attestation arrives or the suspension
    /// ends.
    pub(crate) const fn suspend(&mut self, now: Moment) {
        self.consecutive_failures = 0;
        self.suspended_at = Some(now);
        self.first_byte_window = self.limits.first_byte_window;
        self.consecutive_timeouts = 0;
    }

    /// Returns the period in which starts are limited. A start of a coordinated group may be used up
    /// to [`GRANT`](tanagerhub_capacity::GRANT) later, whoever decided it.
    const fn starts_window(&self) -> Duration {
        match self.route.shared {
            Some(_) => START_WINDOW,
            None => STARTS_WINDOW,
        }
    }

    /// Whether one more start keeps within the route's limit of starts in any window.
    fn may_start(&self, now: Moment) -> bool {
        let Some(start_limit) = self.route.starts else {
            return true;
        };
        let window = self.starts_window();
        let recent = |start: &&Moment| now.since(**start) < window;
        let count = self.starts.iter().rev().take_while(recent).count();
        u32::try_from(count).is_ok_and(|count| count < start_limit)
    }

    fn drop_old_starts(&mut self, now: Moment) {
        let window = self.starts_window();
        while self
            .starts
            .front()
            .is_some_and(|start| now.since(*start) >= window)
        {
            self.starts.pop_front();
        }
    }

    /// Records a cold signal. Returns whether the group was not known to be cold.
    pub(crate) fn mark_cold(&mut self, now: Moment) -> bool {
        let is_new = self.route.cold.is_none() && self.cold_since.is_none();
        if is_new {
            self.cold_since = Some(now);
            self.first_byte_window = self.limits.first_byte_window;
        }
        is_new
    }
}
