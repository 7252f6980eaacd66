//! One group as this node uses it.

use std::collections::VecDeque;
use std::time::Duration;

use tanagerhub_clock::Moment;

use crate::Route;
use crate::average::Average;

/// The span over which starts of requests are counted.
const STARTS_WINDOW: Duration = Duration::from_secs(1);
/// Tokens of a group are told to control at most this often.
const PROOF_INTERVAL: Duration = Duration::from_millis(500);
/// How long a load report counts.
const REPORT_LIFE: Duration = Duration::from_secs(3);
/// Timeouts in a row after which a group is avoided.
const TIMEOUTS_TO_FAIL: u32 = 2;
/// The most by which a slow group's load is scaled up.
const SLOWEST: f64 = 16.0;
/// How long a group's slowness is believed without new evidence.
const SLOWNESS_LIFE: Duration = Duration::from_secs(10);

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
const FIRST_PACE: f64 = 4.0;
/// The most of them.
const MOST_PACE: f64 = 32.0;
/// The part of the objective that first bytes should come within.
const ON_TIME: f64 = 0.9;
/// The part of its window that a group keeps when first bytes come late.
const WINDOW_CUT: f64 = 0.7;
/// Time between two cuts of a group's window; late first bytes come in bunches.
const CUT_AGAIN: Duration = Duration::from_millis(200);

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
    pace: f64,
    cut: Moment,
    others: u32,
    reported: Moment,
    own_reported: u32,
    first_byte: Average,
    measured: Moment,
    proved: Moment,
    timeouts: u32,
    failures: u32,
    /// When requests were started, within the last window.
    starts: VecDeque<Moment>,
    failed: Option<Moment>,
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
            pace: FIRST_PACE,
            cut: Moment::ZERO,
            others: 0,
            reported: Moment::ZERO,
            own_reported: 0,
            first_byte: Average::default(),
            measured: now,
            proved: Moment::ZERO,
            timeouts: 0,
            failures: 0,
            starts: VecDeque::new(),
            failed: None,
            cold_since: None,
        };
        group.take_load(now);
        group
    }

    /// Takes in control's newer view.
    pub(crate) fn update(&mut self, now: Moment, route: Route) {
        let restarted = route.epoch != self.route.epoch;
        let proof = now.before(route.attested);
        self.route = route;
        self.listed = true;
        if restarted {
            self.window = self.limits.window;
            self.failures = 0;
            self.first_byte = Average::default();
            self.failed = None;
            self.cold_since = None;
        }
        if self.failed.is_some_and(|failed| proof > failed) {
            self.failed = None;
        }
        let known = |since| self.route.cold.is_some() || proof > since;
        if self.cold_since.is_some_and(known) {
            self.cold_since = None;
        }
        self.take_load(now);
    }

    fn take_load(&mut self, now: Moment) {
        let Some(load) = self.route.load else {
            return;
        };
        let total = load.running.saturating_add(load.waiting);
        self.own_reported = self.in_flight.min(total);
        self.others = total - self.own_reported;
        self.reported = now.before(load.age);
    }

    /// Whether one more request may be sent, given the entry's limit per group.
    pub(crate) fn has_room(&self, now: Moment, limit: u32, live: u32) -> bool {
        self.takes_work(now)
            && self.unanswered < self.window
            && self.in_flight < self.cap(now, limit, live)
            && self.may_start(now)
    }

    fn takes_work(&self, now: Moment) -> bool {
        let suspended = |failed| now.since(failed) < self.limits.suspension;
        self.route.takes_work() && !self.failed.is_some_and(suspended)
    }

    /// Requests that this node may have in flight.
    fn cap(&self, now: Moment, limit: u32, live: u32) -> u32 {
        if let Some(slots) = self.route.cold {
            return slots;
        }
        if self.cold_since.is_some() {
            return 0;
        }
        if let Some(slots) = self.route.slots {
            return slots;
        }
        let sharers = match self.route.sharers {
            0 => live.max(1),
            sharers => sharers,
        };
        let part = limit.div_ceil(sharers).max(1);
        if self.route.load.is_none() || now.since(self.reported) > REPORT_LIFE {
            return part;
        }
        let spare = limit.saturating_sub(self.others + self.own_reported);
        part.max(self.own_reported + spare / sharers)
    }

    /// Requests at the group from all nodes, as far as known.
    pub(crate) fn load(&self, now: Moment) -> f64 {
        let age = now.since(self.reported);
        let life = REPORT_LIFE.as_secs_f64();
        let belief = (1.0 - age.as_secs_f64() / life).max(0.0);
        f64::from(self.in_flight) + f64::from(self.others) * belief
    }

    /// How much slower than usual the group answers; at least 1.
    pub(crate) fn slowness(&self, now: Moment, usual: Option<f64>) -> f64 {
        let (Some(own), Some(usual)) = (self.first_byte.get(), usual) else {
            return 1.0;
        };
        if usual <= 0.0 {
            return 1.0;
        }
        let age = now.since(self.measured).as_secs_f64() / SLOWNESS_LIFE.as_secs_f64();
        let belief = (1.0 - age).max(0.0);
        1.0 + ((own / usual).clamp(1.0, SLOWEST) - 1.0) * belief
    }

    /// Counts a request that is sent.
    pub(crate) fn start(&mut self, now: Moment, suspect: bool) {
        if self.route.starts.is_some() {
            self.forget_starts(now);
            self.starts.push_back(now);
        }
        self.in_flight += 1;
        self.unanswered += 1;
        if suspect {
            self.suspects += 1;
        }
    }

    /// Counts a request that has left the group.
    pub(crate) const fn end(&mut self, answered: bool, suspect: bool) {
        self.in_flight = self.in_flight.saturating_sub(1);
        if !answered {
            self.unanswered = self.unanswered.saturating_sub(1);
        }
        if suspect {
            self.suspects = self.suspects.saturating_sub(1);
        }
    }

    /// Whether one more request with an objective may wait for its first byte.
    pub(crate) fn keeps_pace(&self) -> bool {
        f64::from(self.unanswered) < self.pace
    }

    /// Takes in how long the first byte of a request with an objective took.
    pub(crate) fn paced(&mut self, now: Moment, wait: Duration, objective: Duration) {
        if wait <= objective.mul_f64(ON_TIME) {
            self.pace = (self.pace + 1.0 / self.pace).min(MOST_PACE);
        } else if now.since(self.cut) >= CUT_AGAIN {
            self.cut = now;
            self.pace = (self.pace * WINDOW_CUT).max(1.0);
        }
    }

    /// Takes in a first byte; the window opens.
    pub(crate) fn first_byte(&mut self, now: Moment, wait: Duration) {
        self.unanswered = self.unanswered.saturating_sub(1);
        self.window = self.window.saturating_add(1).min(self.limits.window);
        self.timeouts = 0;
        self.failures = 0;
        self.first_byte.observe(wait.as_secs_f64());
        self.measured = now;
    }

    /// Takes in a token; says whether control should hear of it.
    pub(crate) fn proves_whole(&mut self, now: Moment) -> bool {
        let news = now.since(self.proved) >= PROOF_INTERVAL;
        if news {
            self.proved = now;
        }
        news
    }

    /// Takes in that the group refused a request.
    pub(crate) fn refused(&mut self) {
        self.window = (self.window / 2).max(1);
    }

    /// Takes in an answer that is overdue.
    pub(crate) fn timed_out(&mut self, now: Moment, wait: Duration) {
        self.refused();
        self.first_byte.observe(wait.as_secs_f64());
        self.measured = now;
        self.timeouts += 1;
        if self.timeouts >= TIMEOUTS_TO_FAIL {
            self.fail(now);
        }
    }

    /// Takes in a failure: the group gets no work until something newer is heard of it.
    pub(crate) const fn fail(&mut self, now: Moment) {
        self.failures = self.failures.saturating_add(1);
        if self.failures < self.limits.failures {
            return;
        }
        self.suspend(now);
    }

    /// Avoids the group from now on.
    pub(crate) const fn suspend(&mut self, now: Moment) {
        self.failures = 0;
        self.failed = Some(now);
        self.window = self.limits.window;
        self.timeouts = 0;
    }

    /// Whether one more request may start within this second.
    fn may_start(&self, now: Moment) -> bool {
        let Some(limit) = self.route.starts else {
            return true;
        };
        let recent = |start: &&Moment| now.since(**start) < STARTS_WINDOW;
        let count = self.starts.iter().rev().take_while(recent).count();
        u32::try_from(count).is_ok_and(|count| count < limit)
    }

    fn forget_starts(&mut self, now: Moment) {
        while self
            .starts
            .front()
            .is_some_and(|start| now.since(*start) >= STARTS_WINDOW)
        {
            self.starts.pop_front();
        }
    }

    /// Takes in a cold signal; says whether it is news.
    pub(crate) fn turn_cold(&mut self, now: Moment) -> bool {
        let news = self.route.cold.is_none() && self.cold_since.is_none();
        if news {
            self.cold_since = Some(now);
            self.window = self.limits.window;
        }
        news
    }
}
