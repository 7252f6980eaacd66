//! Event loop that simulates nodes, engines and callers in logical time.

mod faults;
mod setup;

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tanagerhub_clock::Moment;
use tanagerhub_traffic::{AttemptEvent, Outcome, Repeat, RequestInfo};

use super::engine::{Engine, Job};
use super::policy::{Action, Attempt, Policy};
use super::scenario::{CAPACITY_PER_GROUP, ORGANISATIONS, Outcomes, Scenario};

const DATA_CENTRES: usize = 3;
const ENTRY: &str = "advisor";
/// Maximum number of requests at an engine in cold start.
const COLD_LIMIT: usize = 2;
const NETWORK_DELAY: Duration = Duration::from_millis(1);
const TICK_INTERVAL: Duration = Duration::from_millis(500);
/// Delay until nodes receive a change of a group's state.
const CONTROL_LAG: Duration = Duration::from_secs(2);

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrive,
    Deliver(usize),
    FirstToken(usize, u64),
    Chunk(usize, u64),
    Overdue(usize, u64),
    Deadline(usize),
    Wakeup(usize),
    Tick,
    Fault(usize),
    ViewUpdate(usize),
}

#[derive(Debug)]
struct Request {
    info: RequestInfo,
    node: usize,
    organisation: usize,
    total: u32,
    arrived: Moment,
    sent: bool,
    has_first_token: bool,
    tokens: u32,
    last_token: Moment,
    done: bool,
    received: u32,
    /// Attempts received by engines: attempt, group, job.
    jobs: Vec<(u64, usize, u64)>,
}

#[derive(Debug, Clone, Copy)]
struct GroupView {
    epoch: u64,
    eligible: bool,
    draining: bool,
    cold: bool,
    load: (u32, u32),
}

/// State of one simulation run.
#[derive(Debug)]
pub struct Simulation {
    scenario: Scenario,
    random: ChaCha8Rng,
    now: Moment,
    end: Moment,
    events: BinaryHeap<Reverse<(Moment, u64, Event)>>,
    next_id: u64,
    nodes: Vec<Policy>,
    wakeups: Vec<Moment>,
    engines: Vec<Engine>,
    views: Vec<GroupView>,
    /// Group states that nodes receive after [`CONTROL_LAG`].
    pending_views: Vec<(usize, GroupView)>,
    requests: Vec<Request>,
    sent_attempts: Vec<(usize, Attempt)>,
    all_attempts_break: bool,
    outcomes: Outcomes,
}

/// Runs a scenario to its end.
pub fn run(scenario: &Scenario) -> Outcomes {
    let mut simulation = Simulation::new(scenario.clone());
    simulation.run();
    simulation.finish()
}

impl Simulation {
    fn new(scenario: Scenario) -> Self {
        let now = Moment::from_millis(1_000);
        let nodes = (0..scenario.nodes)
            .map(|node| setup::policy(&scenario, node, now))
            .collect();
        let view = GroupView {
            epoch: 1,
            eligible: true,
            draining: false,
            cold: false,
            load: (0, 0),
        };
        let mut simulation = Self {
            random: ChaCha8Rng::seed_from_u64(scenario.seed),
            now,
            end: now + Duration::from_secs(scenario.seconds),
            events: BinaryHeap::new(),
            next_id: 0,
            wakeups: vec![Moment::from_nanos(u64::MAX); scenario.nodes],
            nodes,
            engines: (0..scenario.groups).map(|_| Engine::new()).collect(),
            views: vec![view; scenario.groups],
            pending_views: Vec::new(),
            requests: Vec::new(),
            sent_attempts: Vec::new(),
            all_attempts_break: false,
            outcomes: Outcomes::default(),
            scenario,
        };
        for (index, (second, _)) in simulation.scenario.faults.clone().iter().enumerate() {
            let at = now + Duration::from_secs(*second);
            simulation.schedule_at(at, Event::Fault(index));
        }
        simulation.handle_tick();
        simulation.schedule_at(now, Event::Arrive);
        simulation
    }

    fn run(&mut self) {
        while let Some(Reverse((at, _, event))) = self.events.pop() {
            self.now = at;
            self.handle_event(event);
        }
    }

    fn schedule_at(&mut self, at: Moment, event: Event) {
        self.next_id += 1;
        self.events.push(Reverse((at, self.next_id, event)));
    }

    fn schedule_after(&mut self, duration: Duration, event: Event) {
        self.schedule_at(self.now + duration, event);
    }

    fn handle_event(&mut self, event: Event) {
        match event {
            Event::Arrive => self.handle_arrival(),
            Event::Deliver(send) => self.handle_delivery(send),
            Event::FirstToken(group, job) => {
                self.engines[group].finish_prefill();
                self.handle_tokens(group, job, 1);
            }
            Event::Chunk(group, job) => {
                let engine = &self.engines[group];
                let running = engine.running.iter().find(|it| it.id == job);
                let count = running.map_or(0, |it| engine.chunk(it).0);
                self.handle_tokens(group, job, count);
            }
            Event::Overdue(request, attempt) => self.handle_overdue(request, attempt),
            Event::Deadline(request) => self.handle_deadline(request),
            // The wakeup was rescheduled to an earlier time, so nothing is left to do.
            Event::Wakeup(node) if self.wakeups[node] != self.now => {}
            Event::Wakeup(node) => {
                self.wakeups[node] = Moment::from_nanos(u64::MAX);
                self.poll(node);
            }
            Event::Tick => self.handle_tick(),
            Event::Fault(index) => self.apply_fault(self.scenario.faults[index].1),
            Event::ViewUpdate(index) => {
                let (group, view) = self.pending_views[index];
                self.views[group] = view;
            }
        }
    }

    fn handle_arrival(&mut self) {
        if self.now >= self.end {
            return;
        }
        let share = CAPACITY_PER_GROUP * self.scenario.groups as f64 / ORGANISATIONS as f64;
        let others = share * self.scenario.load * (ORGANISATIONS - 1) as f64;
        let first = share
            * self
                .scenario
                .first_organisation_load
                .unwrap_or(self.scenario.load);
        let draw: f64 = self.random.random_range(f64::EPSILON..1.0);
        self.schedule_after(
            Duration::from_secs_f64(-draw.ln() / (others + first)),
            Event::Arrive,
        );
        let is_first = self.random.random_bool(first / (others + first));
        let organisation = if is_first {
            0
        } else {
            self.random.random_range(1..ORGANISATIONS)
        };
        let number = self.requests.len();
        let request = self.random_request(number, organisation);
        let (node, info) = (request.node, request.info.clone());
        self.schedule_at(info.deadline, Event::Deadline(number));
        self.requests.push(request);
        self.outcomes.offered += 1;
        let action = self.nodes[node].submit(self.now, info);
        self.perform(number, action);
        self.schedule_wakeup(node);
    }

    fn perform(&mut self, number: usize, action: Action) {
        match action {
            Action::Send(attempt) => self.send(number, attempt),
            Action::Error {
                retry_after,
                outcome,
            } => self.handle_error(number, retry_after, outcome),
            Action::Cancel(attempt) => self.cancel(number, attempt),
            Action::Wait | Action::Nothing => {}
        }
    }

    fn send(&mut self, number: usize, attempt: Attempt) {
        let request = &mut self.requests[number];
        self.outcomes.attempts += 1;
        if !request.sent {
            request.sent = true;
            let wait = millis(self.now.since(request.arrived));
            self.outcomes.wait.saturating_record(wait);
            if request.organisation != 0 {
                self.outcomes.wait_others.saturating_record(wait);
            }
        }
        self.sent_attempts.push((number, attempt));
        self.schedule_after(NETWORK_DELAY, Event::Deliver(self.sent_attempts.len() - 1));
        self.schedule_at(
            attempt.first_byte_deadline,
            Event::Overdue(number, attempt.id),
        );
    }

    fn handle_delivery(&mut self, index: usize) {
        let (number, attempt) = self.sent_attempts[index];
        if self.requests[number].done {
            return;
        }
        let group = usize::try_from(attempt.group.0 - 1).unwrap();
        if self.engines[group].crashed {
            self.report(number, attempt.id, AttemptEvent::ConnectFailed);
            return;
        }
        self.next_id += 1;
        let job = self.next_id;
        let request = &mut self.requests[number];
        request.received += 1;
        request.jobs.push((attempt.id, group, job));
        if request.received == 2 && request.info.repeat == Repeat::Never {
            self.outcomes.duplicated += 1;
        }
        let started = self.engines[group].add(Job {
            id: job,
            attempt: attempt.id,
            request: number,
            priority: attempt.priority,
            blocks: request.info.prefixes.to_vec(),
            tokens: attempt.resume_at,
            total: request.total,
        });
        self.schedule_first_tokens(group, started);
        if self.engines[group].is_overloaded() {
            self.outcomes.overrun += 1;
            self.crash_group(group);
        } else if self.all_attempts_break {
            self.engines[group].remove(job);
            self.report(number, attempt.id, AttemptEvent::Broke);
        }
    }

    fn schedule_first_tokens(&mut self, group: usize, started: Vec<(u64, Duration)>) {
        for (job, duration) in started {
            self.schedule_after(duration, Event::FirstToken(group, job));
        }
    }

    fn handle_tokens(&mut self, group: usize, id: u64, count: u32) {
        let engine = &mut self.engines[group];
        let Some(job) = engine.running.iter_mut().find(|job| job.id == id) else {
            return;
        };
        job.tokens += count;
        let job = job.clone();
        let request = &mut self.requests[job.request];
        let gap = millis(self.now.since(request.last_token)) / u64::from(count.max(1));
        if request.has_first_token {
            self.outcomes.gap.saturating_record_n(gap, u64::from(count));
        } else {
            request.has_first_token = true;
            let wait = millis(self.now.since(request.arrived));
            self.outcomes.first_token.saturating_record(wait);
        }
        request.last_token = self.now;
        request.tokens = job.tokens;
        if job.tokens < job.total {
            let (_, duration) = self.engines[group].chunk(&job);
            self.schedule_after(duration, Event::Chunk(group, id));
            self.report(job.request, job.attempt, AttemptEvent::Token(job.tokens));
            return;
        }
        self.engines[group].remove(id);
        finish_request(&mut self.requests[job.request], &mut self.outcomes);
        let finished = AttemptEvent::Finished { tokens: job.total };
        self.report(job.request, job.attempt, finished);
        let started = self.engines[group].start();
        self.schedule_first_tokens(group, started);
    }

    fn report(&mut self, number: usize, attempt: u64, event: AttemptEvent) {
        let node = self.requests[number].node;
        let action = self.nodes[node].report(self.now, attempt, event);
        if matches!((event, action), (AttemptEvent::Token(_), Action::Send(_))) {
            self.cancel(number, attempt);
        }
        self.perform(number, action);
        if !matches!(event, AttemptEvent::Token(_)) {
            self.poll(node);
        }
    }

    fn poll(&mut self, node: usize) {
        for (number, action) in self.nodes[node].poll(self.now) {
            self.perform(number, action);
        }
        self.schedule_wakeup(node);
    }

    fn schedule_wakeup(&mut self, node: usize) {
        if let Some(at) = self.nodes[node].next_wakeup()
            && at < self.wakeups[node]
        {
            let at = at.max(self.now);
            self.wakeups[node] = at;
            self.schedule_at(at, Event::Wakeup(node));
        }
    }

    fn cancel(&mut self, number: usize, attempt: u64) {
        let jobs = self.requests[number].jobs.clone();
        for (_, group, job) in jobs.into_iter().filter(|it| it.0 == attempt) {
            self.engines[group].remove(job);
            let started = self.engines[group].start();
            self.schedule_first_tokens(group, started);
        }
    }

    fn handle_overdue(&mut self, number: usize, attempt: u64) {
        let request = &self.requests[number];
        let silent = request.jobs.iter().any(|(it, group, job)| {
            let engine = &self.engines[*group];
            let running = engine.running.iter().find(|it| it.id == *job);
            *it == attempt && running.is_none_or(|it| it.tokens == 0)
        });
        if request.done || request.has_first_token || !silent {
            return;
        }
        self.cancel(number, attempt);
        self.report(number, attempt, AttemptEvent::TimedOut);
    }

    fn handle_deadline(&mut self, number: usize) {
        if self.requests[number].done {
            return;
        }
        self.requests[number].done = true;
        self.record_failure(number);
        let jobs = self.requests[number].jobs.clone();
        for (attempt, _, _) in jobs {
            self.cancel(number, attempt);
            self.report(number, attempt, AttemptEvent::CallerLeft);
        }
    }

    fn handle_error(&mut self, number: usize, retry_after: bool, outcome: Outcome) {
        let request = &mut self.requests[number];
        if request.done {
            return;
        }
        request.done = true;
        if !request.sent {
            self.outcomes.refused += 1;
            self.outcomes.refused_without_retry_after += u64::from(!retry_after);
            return;
        }
        assert!(
            outcome != Outcome::NotRun || request.received == 0 || request.tokens == 0,
            "a request that ran was reported as not-run"
        );
        self.record_failure(number);
    }

    fn record_failure(&mut self, number: usize) {
        match self.requests[number].info.repeat {
            Repeat::Never => self.outcomes.unknown += 1,
            Repeat::Whole | Repeat::Resume => self.outcomes.lost += 1,
        }
    }

    fn finish(mut self) -> Outcomes {
        for engine in &self.engines {
            self.outcomes.blocks_looked_up += engine.blocks_looked_up;
            self.outcomes.blocks_hit += engine.blocks_hit;
        }
        assert!(
            self.requests.iter().all(|it| it.done),
            "a request never ended"
        );
        self.outcomes
    }
}

fn finish_request(request: &mut Request, outcomes: &mut Outcomes) {
    if !request.done {
        request.done = true;
        outcomes.in_time += 1;
    }
}

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
