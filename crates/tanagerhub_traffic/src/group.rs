//! One group as this node uses it.

use std::collections::VecDeque;
use std::time::Duration;

use tanagerhub_clock::Moment;

use crate::Route;
use crate::average::Average;

/// The span over which starts of requests are counted.
const STARTS_WINDOW: Duration = Duration::from_secs(1);
/// Tokens of a group are told to control at most this often.
const COMPLETE_REPORT_INTERVAL: Duration = Duration::from_millis(500);
/// How long a load report counts.
const LOAD_REPORT_MAX_AGE: Duration = Duration::from_secs(3);
/// Timeouts in a row after which a group is avoided.
const MAX_CONSECUTIVE_TIMEOUTS: u32 = 2;
/// The most by which a slow group's load is scaled up.
const MAX_SLOWNESS: f64 = 16.0;
/// How long a group's slowness is believed without new evidence.
const SLOWNESS_MAX_AGE: Duration = Duration::from_secs(10);

/// How a group is treated, whichever it is.
#[derive(Debug, Clone, Copy)]
pub(crate) struct GroupLimits {
    /// Requests without a first byte that may be in flight from this node.
    pub(crate) window: u32,
    /// Failures in a row after which the group is avoided.
    pub(crate) failures: u32,
    /// How long it is avoided when nothing newer is heard of it.
    pub(crate) suspension: Duration,
}

/// Requests with an objective that wait for their first byte at a group that is not known yet.
const INITIAL_PACE_WINDOW: f64 = 4.0;
/// The most of them.
const MAX_PACE_WINDOW: f64 = 32.0;
/// The part of the objective that first bytes should come within.
const ON_TIME_RATIO: f64 = 0.9;
/// The part of its window that a group keeps when first bytes come late.
const PACE_DECREASE_FACTOR: f64 = 0.7;
/// Time between two cuts of a group's window; late first bytes come in bunches.
const PACE_DECREASE_INTERVAL: Duration = Duration::from_millis(200);

/// One group, with what this node has in flight there.
#[derive(Debug)]
pub(crate) struct Group {
    pub(crate) route: Route,
    /// Whether control's newest view has it.
    pub(crate) listed: bool,
    /// Requests in flight from this node.
    pub(crate) in_flight: u32,
    /// Of these, requests without a first byte.
    pub(crate) unanswered: u32,
    /// Of these, requests that may crash a back end.
    pub(crate) suspects: u32,
    limits: GroupLimits,
    window: u32,
    /// The same for requests with an objective, in steps smaller than one request.
    pace_window: f64,
    pace_decreased_at: Moment,
    other_load: u32,
    reported_at: Moment,
    own_reported_load: u32,
    first_byte: Average,
    measured_at: Moment,
    complete_reported_at: Moment,
    timeouts: u32,
    failures: u32,
    /// When requests were started, within the last window.
    starts: VecDeque<Moment>,
    suspended_at: Option<Moment>,
    cold_since: Option<Moment>,
}

impl Group {
    pub(crate) fn new(now: Moment, route: Route, limits: GroupLimits) -> Self {
        let mut group = Self {
            route,
            listed: true,
            in_flight: 0,
            unanswered: 0,
            suspects: 0,
            limits,
            window: limits.window,
            pace_window: INITIAL_PACE_WINDOW,
            pace_decreased_at: Moment::ZERO,
            other_load: 0,
            reported_at: Moment::ZERO,
            own_reported_load: 0,
            first_byte: Average::default(),
            measured_at: now,
            complete_reported_at: Moment::ZERO,
            timeouts: 0,
            failures: 0,
            starts: VecDeque::new(),
            suspended_at: None,
            cold_since: None,
        };
        group.apply_load_report(now);
        group
    }

    /// Takes in control's newer view.
    pub(crate) fn update(&mut self, now: Moment, route: Route) {
        let epoch_changed = route.epoch != self.route.epoch;
        let attested_at = now.before(route.attested);
        self.route = route;
        self.listed = true;
        if epoch_changed {
            self.window = self.limits.window;
            self.failures = 0;
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
        self.reported_at = now.before(load.age);
    }

    /// Whether one more request may be sent, given the entry's limit per group.
    pub(crate) fn has_room(&self, now: Moment, concurrency_limit: u32, live_nodes: u32) -> bool {
        self.takes_work(now)
            && self.unanswered < self.window
            && self.in_flight < self.in_flight_limit(now, concurrency_limit, live_nodes)
            && self.may_start(now)
    }

    fn takes_work(&self, now: Moment) -> bool {
        let suspended = |suspended_at| now.since(suspended_at) < self.limits.suspension;
        self.route.takes_work() && !self.suspended_at.is_some_and(suspended)
    }

    /// Requests that this node may have in flight.
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
        if self.route.load.is_none() || now.since(self.reported_at) > LOAD_REPORT_MAX_AGE {
            return equal_share;
        }
        let spare = concurrency_limit.saturating_sub(self.other_load + self.own_reported_load);
        equal_share.max(self.own_reported_load + spare / sending_nodes)
    }

    /// Requests at the group from all nodes, as far as known.
    pub(crate) fn load(&self, now: Moment) -> f64 {
        let age = now.since(self.reported_at);
        let max_age = LOAD_REPORT_MAX_AGE.as_secs_f64();
        let freshness_weight = (1.0 - age.as_secs_f64() / max_age).max(0.0);
        f64::from(self.in_flight) + f64::from(self.other_load) * freshness_weight
    }

    /// How much slower than usual the group answers; at least 1.
    pub(crate) fn slowness(&self, now: Moment, usual_first_byte: Option<f64>) -> f64 {
        let (Some(own_first_byte), Some(usual_first_byte)) =
            (self.first_byte.get(), usual_first_byte)
        else {
            return 1.0;
        };
        if usual_first_byte <= 0.0 {
            return 1.0;
        }
        let age = now.since(self.measured_at).as_secs_f64() / SLOWNESS_MAX_AGE.as_secs_f64();
        let freshness_weight = (1.0 - age).max(0.0);
        1.0 + ((own_first_byte / usual_first_byte).clamp(1.0, MAX_SLOWNESS) - 1.0)
            * freshness_weight
    }

    /// Counts a request that is sent.
    pub(crate) fn start(&mut self, now: Moment, suspect: bool) {
        if self.route.starts.is_some() {
            self.drop_old_starts(now);
            self.starts.push_back(now);
        }
        self.in_flight += 1;
        self.unanswered += 1;
        if suspect {
            self.suspects += 1;
        }
    }

    /// Counts a request that has left the group.
    pub(crate) const fn end(&mut self, has_response: bool, suspect: bool) {
        self.in_flight = self.in_flight.saturating_sub(1);
        if !has_response {
            self.unanswered = self.unanswered.saturating_sub(1);
        }
        if suspect {
            self.suspects = self.suspects.saturating_sub(1);
        }
    }

    /// Whether one more request with an objective may wait for its first byte.
    pub(crate) fn has_pace_room(&self) -> bool {
        f64::from(self.unanswered) < self.pace_window
    }

    /// Takes in how long the first byte of a request with an objective took.
    pub(crate) fn update_pace(&mut self, now: Moment, wait: Duration, objective: Duration) {
        if wait <= objective.mul_f64(ON_TIME_RATIO) {
            self.pace_window = (self.pace_window + 1.0 / self.pace_window).min(MAX_PACE_WINDOW);
        } else if now.since(self.pace_decreased_at) >= PACE_DECREASE_INTERVAL {
            self.pace_decreased_at = now;
            self.pace_window = (self.pace_window * PACE_DECREASE_FACTOR).max(1.0);
        }
    }

    /// Takes in a first byte; the window opens.
    pub(crate) fn first_byte(&mut self, now: Moment, wait: Duration) {
        self.unanswered = self.unanswered.saturating_sub(1);
        self.window = self.window.saturating_add(1).min(self.limits.window);
        self.timeouts = 0;
        self.failures = 0;
        self.first_byte.observe(wait.as_secs_f64());
        self.measured_at = now;
    }

    /// Takes in a token; says whether control should hear of it.
    pub(crate) fn should_report_complete(&mut self, now: Moment) -> bool {
        let is_new = now.since(self.complete_reported_at) >= COMPLETE_REPORT_INTERVAL;
        if is_new {
            self.complete_reported_at = now;
        }
        is_new
    }

    /// Takes in that the group refused a request.
    pub(crate) fn refused(&mut self) {
        self.window = (self.window / 2).max(1);
    }

    /// Takes in an answer that is overdue.
    pub(crate) fn timed_out(&mut self, now: Moment, wait: Duration) {
        self.refused();
        self.first_byte.observe(wait.as_secs_f64());
        self.measured_at = now;
        self.timeouts += 1;
        if self.timeouts >= MAX_CONSECUTIVE_TIMEOUTS {
            self.record_failure(now);
        }
    }

    /// Takes in a failure: the group gets no work until something newer is heard of it.
    pub(crate) const fn record_failure(&mut self, now: Moment) {
        self.failures = self.failures.saturating_add(1);
        if self.failures < self.limits.failures {
            return;
        }
        self.suspend(now);
    }

    /// Avoids the group from now on.
    pub(crate) const fn suspend(&mut self, now: Moment) {
        self.failures = 0;
        self.suspended_at = Some(now);
        self.window = self.limits.window;
        self.timeouts = 0;
    }

    /// Whether one more request may start within this second.
    fn may_start(&self, now: Moment) -> bool {
        let Some(start_limit) = self.route.starts else {
            return true;
        };
        let recent = |start: &&Moment| now.since(**start) < STARTS_WINDOW;
        let count = self.starts.iter().rev().take_while(recent).count();
        u32::try_from(count).is_ok_and(|count| count < start_limit)
    }

    fn drop_old_starts(&mut self, now: Moment) {
        while self
            .starts
            .front()
            .is_some_and(|start| now.since(*start) >= STARTS_WINDOW)
        {
            self.starts.pop_front();
        }
    }

    /// Takes in a cold signal; says whether it is news.
    pub(crate) fn mark_cold(&mut self, now: Moment) -> bool {
        let is_new = self.route.cold.is_none() && self.cold_since.is_none();
        if is_new {
            self.cold_since = Some(now);
            self.window = self.limits.window;
        }
        is_new
    }
}
