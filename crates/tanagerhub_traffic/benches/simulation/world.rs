//! Nodes, engines and callers in logical time.

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
use super::plan::{CAPACITY_PER_GROUP, ORGANISATIONS, Outcomes, Plan};
use super::policy::{Policy, Send, Step};

const CENTRES: usize = 3;
const ENTRY: &str = "advisor";
/// Requests that an engine bears in cold start.
const COLD_LIMIT: usize = 2;
const NETWORK: Duration = Duration::from_millis(1);
const TICK: Duration = Duration::from_millis(500);
/// Time until nodes see what happened to a group.
const CONTROL_LAG: Duration = Duration::from_secs(2);

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrive,
    Deliver(usize),
    FirstToken(usize, u64),
    Chunk(usize, u64),
    Overdue(usize, u64),
    Deadline(usize),
    Wake(usize),
    Tick,
    Fault(usize),
    Seen(usize),
}

#[derive(Debug)]
struct Request {
    info: RequestInfo,
    node: usize,
    organisation: usize,
    total: u32,
    arrived: Moment,
    sent: bool,
    first: bool,
    tokens: u32,
    last: Moment,
    done: bool,
    received: u32,
    /// Attempts at engines: attempt, group, job.
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

/// One run.
#[derive(Debug)]
pub struct World {
    plan: Plan,
    random: ChaCha8Rng,
    now: Moment,
    end: Moment,
    events: BinaryHeap<Reverse<(Moment, u64, Event)>>,
    next: u64,
    nodes: Vec<Policy>,
    wakes: Vec<Moment>,
    engines: Vec<Engine>,
    views: Vec<GroupView>,
    /// What nodes see later: group and view.
    news: Vec<(usize, GroupView)>,
    requests: Vec<Request>,
    sends: Vec<(usize, Send)>,
    breaking: bool,
    outcomes: Outcomes,
}

/// Runs a plan to its end.
pub fn run(plan: &Plan) -> Outcomes {
    let mut world = World::new(plan.clone());
    world.run();
    world.finish()
}

impl World {
    fn new(plan: Plan) -> Self {
        let now = Moment::from_millis(1_000);
        let nodes = (0..plan.nodes)
            .map(|node| setup::policy(&plan, node, now))
            .collect();
        let view = GroupView {
            epoch: 1,
            eligible: true,
            draining: false,
            cold: false,
            load: (0, 0),
        };
        let mut world = Self {
            random: ChaCha8Rng::seed_from_u64(plan.seed),
            now,
            end: now + Duration::from_secs(plan.seconds),
            events: BinaryHeap::new(),
            next: 0,
            wakes: vec![Moment::from_nanos(u64::MAX); plan.nodes],
            nodes,
            engines: (0..plan.groups).map(|_| Engine::new()).collect(),
            views: vec![view; plan.groups],
            news: Vec::new(),
            requests: Vec::new(),
            sends: Vec::new(),
            breaking: false,
            outcomes: Outcomes::default(),
            plan,
        };
        for (index, (second, _)) in world.plan.faults.clone().iter().enumerate() {
            let at = now + Duration::from_secs(*second);
            world.at(at, Event::Fault(index));
        }
        world.tick();
        world.at(now, Event::Arrive);
        world
    }

    fn run(&mut self) {
        while let Some(Reverse((at, _, event))) = self.events.pop() {
            self.now = at;
            self.step(event);
        }
    }

    fn at(&mut self, at: Moment, event: Event) {
        self.next += 1;
        self.events.push(Reverse((at, self.next, event)));
    }

    fn after(&mut self, span: Duration, event: Event) {
        self.at(self.now + span, event);
    }

    fn step(&mut self, event: Event) {
        match event {
            Event::Arrive => self.arrive(),
            Event::Deliver(send) => self.deliver(send),
            Event::FirstToken(group, job) => {
                self.engines[group].prefilled();
                self.tokens(group, job, 1);
            }
            Event::Chunk(group, job) => {
                let engine = &self.engines[group];
                let running = engine.running.iter().find(|it| it.id == job);
                let count = running.map_or(0, |it| engine.chunk(it).0);
                self.tokens(group, job, count);
            }
            Event::Overdue(request, attempt) => self.overdue(request, attempt),
            Event::Deadline(request) => self.deadline(request),
            // A wake that was brought forward has no work left.
            Event::Wake(node) if self.wakes[node] != self.now => {}
            Event::Wake(node) => {
                self.wakes[node] = Moment::from_nanos(u64::MAX);
                self.poll(node);
            }
            Event::Tick => self.tick(),
            Event::Fault(index) => self.fault(self.plan.faults[index].1),
            Event::Seen(index) => {
                let (group, view) = self.news[index];
                self.views[group] = view;
            }
        }
    }

    fn arrive(&mut self) {
        if self.now >= self.end {
            return;
        }
        let share = CAPACITY_PER_GROUP * self.plan.groups as f64 / ORGANISATIONS as f64;
        let others = share * self.plan.load * (ORGANISATIONS - 1) as f64;
        let first = share * self.plan.heavy.unwrap_or(self.plan.load);
        let draw: f64 = self.random.random_range(f64::EPSILON..1.0);
        self.after(
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
        let request = self.draw_request(number, organisation);
        let (node, info) = (request.node, request.info.clone());
        self.at(info.deadline, Event::Deadline(number));
        self.requests.push(request);
        self.outcomes.offered += 1;
        let step = self.nodes[node].submit(self.now, info);
        self.carry_out(number, step);
        self.schedule_wake(node);
    }

    fn carry_out(&mut self, number: usize, step: Step) {
        match step {
            Step::Send(send) => self.send(number, send),
            Step::Error {
                retry_after,
                outcome,
            } => self.error(number, retry_after, outcome),
            Step::Cancel(attempt) => self.cancel(number, attempt),
            Step::Wait | Step::Nothing => {}
        }
    }

    fn send(&mut self, number: usize, send: Send) {
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
        self.sends.push((number, send));
        self.after(NETWORK, Event::Deliver(self.sends.len() - 1));
        self.at(send.first_byte_by, Event::Overdue(number, send.attempt));
    }

    fn deliver(&mut self, index: usize) {
        let (number, send) = self.sends[index];
        if self.requests[number].done {
            return;
        }
        let group = usize::try_from(send.group.0 - 1).unwrap();
        if self.engines[group].dead {
            self.report(number, send.attempt, AttemptEvent::ConnectFailed);
            return;
        }
        self.next += 1;
        let job = self.next;
        let request = &mut self.requests[number];
        request.received += 1;
        request.jobs.push((send.attempt, group, job));
        if request.received == 2 && request.info.repeat == Repeat::Never {
            self.outcomes.doubled += 1;
        }
        let started = self.engines[group].add(Job {
            id: job,
            attempt: send.attempt,
            request: number,
            priority: send.priority,
            blocks: request.info.prefixes.to_vec(),
            tokens: send.resume_at,
            total: request.total,
        });
        self.schedule(group, started);
        if self.engines[group].is_overrun() {
            self.outcomes.overrun += 1;
            self.kill(group);
        } else if self.breaking {
            self.engines[group].remove(job);
            self.report(number, send.attempt, AttemptEvent::Broke);
        }
    }

    fn schedule(&mut self, group: usize, started: Vec<(u64, Duration)>) {
        for (job, span) in started {
            self.after(span, Event::FirstToken(group, job));
        }
    }

    fn tokens(&mut self, group: usize, id: u64, count: u32) {
        let engine = &mut self.engines[group];
        let Some(job) = engine.running.iter_mut().find(|job| job.id == id) else {
            return;
        };
        job.tokens += count;
        let job = job.clone();
        let request = &mut self.requests[job.request];
        let gap = millis(self.now.since(request.last)) / u64::from(count.max(1));
        if request.first {
            self.outcomes.gap.saturating_record_n(gap, u64::from(count));
        } else {
            request.first = true;
            let wait = millis(self.now.since(request.arrived));
            self.outcomes.first_token.saturating_record(wait);
        }
        request.last = self.now;
        request.tokens = job.tokens;
        if job.tokens < job.total {
            let (_, span) = self.engines[group].chunk(&job);
            self.after(span, Event::Chunk(group, id));
            self.report(job.request, job.attempt, AttemptEvent::Token(job.tokens));
            return;
        }
        self.engines[group].remove(id);
        request_done(&mut self.requests[job.request], &mut self.outcomes);
        let whole = AttemptEvent::Finished { tokens: job.total };
        self.report(job.request, job.attempt, whole);
        let started = self.engines[group].start();
        self.schedule(group, started);
    }

    fn report(&mut self, number: usize, attempt: u64, event: AttemptEvent) {
        let node = self.requests[number].node;
        let step = self.nodes[node].report(self.now, attempt, event);
        if matches!((event, step), (AttemptEvent::Token(_), Step::Send(_))) {
            self.cancel(number, attempt);
        }
        self.carry_out(number, step);
        if !matches!(event, AttemptEvent::Token(_)) {
            self.poll(node);
        }
    }

    fn poll(&mut self, node: usize) {
        for (number, step) in self.nodes[node].poll(self.now) {
            self.carry_out(number, step);
        }
        self.schedule_wake(node);
    }

    fn schedule_wake(&mut self, node: usize) {
        if let Some(at) = self.nodes[node].next_wakeup()
            && at < self.wakes[node]
        {
            let at = at.max(self.now);
            self.wakes[node] = at;
            self.at(at, Event::Wake(node));
        }
    }

    fn cancel(&mut self, number: usize, attempt: u64) {
        let jobs = self.requests[number].jobs.clone();
        for (_, group, job) in jobs.into_iter().filter(|it| it.0 == attempt) {
            self.engines[group].remove(job);
            let started = self.engines[group].start();
            self.schedule(group, started);
        }
    }

    fn overdue(&mut self, number: usize, attempt: u64) {
        let request = &self.requests[number];
        let silent = request.jobs.iter().any(|(it, group, job)| {
            let engine = &self.engines[*group];
            let running = engine.running.iter().find(|it| it.id == *job);
            *it == attempt && running.is_none_or(|it| it.tokens == 0)
        });
        if request.done || request.first || !silent {
            return;
        }
        self.cancel(number, attempt);
        self.report(number, attempt, AttemptEvent::TimedOut);
    }

    fn deadline(&mut self, number: usize) {
        if self.requests[number].done {
            return;
        }
        self.requests[number].done = true;
        self.count_loss(number);
        let jobs = self.requests[number].jobs.clone();
        for (attempt, _, _) in jobs {
            self.cancel(number, attempt);
            self.report(number, attempt, AttemptEvent::CallerLeft);
        }
    }

    fn error(&mut self, number: usize, retry_after: bool, outcome: Outcome) {
        let request = &mut self.requests[number];
        if request.done {
            return;
        }
        request.done = true;
        if !request.sent {
            self.outcomes.refused += 1;
            self.outcomes.refused_blankly += u64::from(!retry_after);
            return;
        }
        assert!(
            outcome != Outcome::NotRun || request.received == 0 || request.tokens == 0,
            "a request that ran was called not-run"
        );
        self.count_loss(number);
    }

    fn count_loss(&mut self, number: usize) {
        match self.requests[number].info.repeat {
            Repeat::Never => self.outcomes.unknown += 1,
            Repeat::Whole | Repeat::Resume => self.outcomes.lost += 1,
        }
    }

    fn finish(mut self) -> Outcomes {
        for engine in &self.engines {
            self.outcomes.blocks_asked += engine.blocks_asked;
            self.outcomes.blocks_hit += engine.blocks_hit;
        }
        assert!(
            self.requests.iter().all(|it| it.done),
            "a request never ended"
        );
        self.outcomes
    }
}

fn request_done(request: &mut Request, outcomes: &mut Outcomes) {
    if !request.done {
        request.done = true;
        outcomes.in_time += 1;
    }
}

fn millis(span: Duration) -> u64 {
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}
