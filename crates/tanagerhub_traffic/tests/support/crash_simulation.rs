//! Nodes whose requests share parts of their prompts, groups that crash, and a store between them.

use std::collections::BTreeMap;
use std::time::Duration;

use rand::{RngExt as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;
use tanagerhub_catalogue::{Epoch, GroupId};
use tanagerhub_clock::Moment;
use tanagerhub_traffic::{
    CrashDecision, CrashKey, CrashRow, CrashRowChanges, CrashSubject, CrashTable, Evidence,
    FailedAttempt,
};

/// The crashing part.
pub const BAD: u64 = 999;
const QUARANTINE: Duration = Duration::from_mins(10);
/// Length of a step.
const STEP_MS: u64 = 5;
const GROUPS: usize = 16;
const SLOTS: usize = 8;
/// Sound requests a second.
const SOUND_RATE: f64 = 40.0;
/// Number of parts that stand after the first one in sound prompts.
const PARTS: u64 = 60;
const MAX_ATTEMPTS: u32 = 2;
/// Time for which a crashed group is away.
const OUTAGE_MS: u64 = 3_000;
/// Interval between two writes of a node.
const WRITE_INTERVAL_MS: u64 = 200;

/// What happens in a run.
#[derive(Debug, Clone, Copy)]
pub struct Plan {
    pub seed: u64,
    pub nodes: usize,
    /// Requests with the crashing part, a second; they begin after two seconds.
    pub bad_rate: f64,
    /// From when on the part crashes groups.
    pub bad_from_ms: u64,
    /// Number of first parts before the crashing one; at zero it is the first part itself.
    pub bad_firsts: u64,
    /// Crashes without a cause in the prompts, a second.
    pub other_crash_rate: f64,
    /// When the first node starts again, if it does.
    pub restart_ms: Option<u64>,
    /// When the groups of a third of the fleet crash at the same moment.
    pub power_loss_ms: Option<u64>,
}

/// What was counted.
#[derive(Debug, Default, Clone)]
pub struct Counts {
    /// Moments at which groups ended under the crashing part.
    pub crashes: Vec<u64>,
    /// Moments at which requests with the part reached groups.
    pub bad_reached: Vec<u64>,
    /// Moments at which sound requests came, and whether they were refused for crashes.
    pub sound: Vec<(u64, bool)>,
    /// Sound parts that were blamed, at any time.
    pub wrongly_blamed: usize,
    /// Rows written.
    pub rows: usize,
}

#[derive(Debug)]
struct Run {
    node: usize,
    parts: Vec<u64>,
    fingerprint: u64,
    started: u64,
    ends: u64,
    attempts: u32,
}

#[derive(Debug, Default)]
struct Group {
    epoch: u64,
    runs: Vec<Run>,
    down_until: u64,
}

#[derive(Debug)]
struct Node {
    table: CrashTable,
    write_at: u64,
    /// Delay with which the node learns of changes of the store.
    feed_delay: u64,
    /// Moments at which it notices losses.
    losses: Vec<(u64, GroupId, Epoch)>,
    /// Number of changes of the store that it has applied.
    applied: usize,
}

/// A run of the simulation.
#[derive(Debug)]
pub struct CrashSimulation {
    plan: Plan,
    random: ChaCha8Rng,
    now: u64,
    nodes: Vec<Node>,
    groups: Vec<Group>,
    rows: BTreeMap<CrashKey, (u64, CrashRow)>,
    log: Vec<(u64, CrashKey, Option<CrashRow>)>,
    /// Writes on their way to the store.
    writes: Vec<(u64, CrashRowChanges)>,
    next_fingerprint: u64,
    pub counts: Counts,
}

impl CrashSimulation {
    pub fn new(plan: Plan) -> Self {
        let mut random = ChaCha8Rng::seed_from_u64(plan.seed);
        let nodes = (0..plan.nodes).map(|_| Node {
            table: CrashTable::new(QUARANTINE),
            write_at: random.random_range(0..WRITE_INTERVAL_MS),
            feed_delay: random.random_range(50..350),
            losses: Vec::new(),
            applied: 0,
        });
        Self {
            nodes: nodes.collect(),
            plan,
            random,
            now: 0,
            groups: (0..GROUPS).map(|_| Group::default()).collect(),
            rows: BTreeMap::new(),
            log: Vec::new(),
            writes: Vec::new(),
            next_fingerprint: 1 << 32,
            counts: Counts::default(),
        }
    }

    pub fn run(mut self, until_ms: u64) -> Counts {
        while self.now < until_ms {
            self.now += STEP_MS;
            self.step();
        }
        self.counts
    }

    fn step(&mut self) {
        if self.plan.restart_ms.is_some_and(|at| self.is_now(at)) {
            self.restart(0);
        }
        if self.plan.power_loss_ms.is_some_and(|at| self.is_now(at)) {
            for group in 0..GROUPS / 3 {
                self.crash(group);
            }
        }
        self.end_runs();
        self.notice_losses();
        self.exchange_rows();
        for _ in 0..self.draw_count(SOUND_RATE) {
            self.send_sound();
        }
        if self.now > 2_000 {
            for _ in 0..self.draw_count(self.plan.bad_rate) {
                self.send_bad();
            }
        }
        for _ in 0..self.draw_count(self.plan.other_crash_rate) {
            let group = self.random.random_range(0..GROUPS);
            self.crash(group);
        }
        self.count_wrongly_blamed();
    }

    fn is_bad(&self, parts: &[u64]) -> bool {
        parts.contains(&BAD) && self.now >= self.plan.bad_from_ms
    }

    fn is_now(&self, at: u64) -> bool {
        at <= self.now && self.now < at + STEP_MS
    }

    fn draw_count(&mut self, rate: f64) -> u32 {
        let expected = rate * f64::from(u32::try_from(STEP_MS).unwrap()) / 1_000.0;
        u32::from(self.random.random_bool(expected.min(1.0)))
    }

    fn moment(&self) -> Moment {
        Moment::from_millis(self.now)
    }

    /// Draws a first part or a later one; the lower its number, the more popular it is.
    fn draw_popular(&mut self, count: u64) -> u64 {
        let draw: f64 = self.random.random();
        let index = (draw * draw * draw) * f64::from(u32::try_from(count).unwrap());
        (0..count)
            .find(|it| index < f64::from(u32::try_from(*it).unwrap()) + 1.0)
            .unwrap()
    }

    fn send_sound(&mut self) {
        let parts = vec![1 + self.draw_popular(5), 100 + self.draw_popular(PARTS)];
        let refused = self.send(parts);
        self.counts.sound.push((self.now, refused));
    }

    fn send_bad(&mut self) {
        let child = 100 + self.draw_popular(PARTS);
        let parts = if self.plan.bad_firsts == 0 {
            vec![BAD, child]
        } else {
            vec![1 + self.random.random_range(0..self.plan.bad_firsts), BAD]
        };
        self.send(parts);
    }

    fn send(&mut self, parts: Vec<u64>) -> bool {
        let node = self.random.random_range(0..self.nodes.len());
        let now = self.moment();
        if self.nodes[node].table.refuse_parts(now, &parts).is_some() {
            return true;
        }
        self.next_fingerprint += 1;
        self.start(node, parts, self.next_fingerprint, 1);
        false
    }

    fn start(&mut self, node: usize, parts: Vec<u64>, fingerprint: u64, attempts: u32) {
        let now = self.now;
        let has_room = |group: &Group| group.down_until <= now && group.runs.len() < SLOTS;
        let with_room: Vec<usize> = (0..GROUPS)
            .filter(|it| has_room(&self.groups[*it]))
            .collect();
        if with_room.is_empty() {
            return;
        }
        let group = with_room[self.random.random_range(0..with_room.len())];
        let is_bad = self.is_bad(&parts);
        let wait = self.random.random_range(80..250);
        let length = if is_bad {
            self.counts.bad_reached.push(now);
            self.random.random_range(30..150)
        } else {
            self.random.random_range(200..2_400)
        };
        self.groups[group].runs.push(Run {
            node,
            parts,
            fingerprint,
            started: now,
            ends: now + wait + length,
            attempts,
        });
    }

    fn end_runs(&mut self) {
        for group in 0..GROUPS {
            let runs = std::mem::take(&mut self.groups[group].runs);
            let (ended, running) = runs.into_iter().partition(|run: &Run| run.ends <= self.now);
            self.groups[group].runs = running;
            let mut bad = None;
            for run in ended {
                if self.is_bad(&run.parts) {
                    bad = Some(run);
                    continue;
                }
                let now = self.moment();
                let table = &mut self.nodes[run.node].table;
                table.record_success(now, run.fingerprint);
                table.record_part_success(now, &run.parts, Moment::from_millis(run.started));
            }
            if let Some(run) = bad {
                self.counts.crashes.push(self.now);
                self.groups[group].runs.push(run);
                self.crash(group);
            }
        }
    }

    fn crash(&mut self, index: usize) {
        let now = self.now;
        let group = &mut self.groups[index];
        if group.down_until > now {
            return;
        }
        let (id, epoch) = (GroupId(index as u64), Epoch(group.epoch));
        group.epoch += 1;
        group.down_until = now + OUTAGE_MS;
        let runs = std::mem::take(&mut group.runs);
        for node in &mut self.nodes {
            let at = now + self.random.random_range(40..150);
            node.losses.push((at, id, epoch));
        }
        for run in runs {
            let moment = Moment::from_millis(now);
            let table = &mut self.nodes[run.node].table;
            let attempt = FailedAttempt {
                fingerprint: run.fingerprint,
                group: id,
                epoch,
                started: Moment::from_millis(run.started),
                evidence: Evidence::Broken,
            };
            table.suspect_parts(moment, attempt, &run.parts);
            let refused = table.parts_refused_for(moment, &run.parts).is_some();
            if !refused && run.attempts < MAX_ATTEMPTS {
                self.start(run.node, run.parts, run.fingerprint, run.attempts + 1);
            }
        }
    }

    fn notice_losses(&mut self) {
        let now = self.now;
        for node in &mut self.nodes {
            let losses = std::mem::take(&mut node.losses);
            let (due, later) = losses.into_iter().partition(|(at, ..)| *at <= now);
            node.losses = later;
            let due: Vec<(u64, GroupId, Epoch)> = due;
            for (_, group, epoch) in due {
                let moment = Moment::from_millis(now);
                node.table.record_loss(moment, group, epoch);
            }
        }
    }

    fn exchange_rows(&mut self) {
        let now = self.moment();
        for index in 0..self.nodes.len() {
            let delay = self.random.random_range(5..50);
            let node = &mut self.nodes[index];
            if self.now.is_multiple_of(1_000) {
                node.table.expire_events(now, index == 0);
            }
            if self.now >= node.write_at {
                node.write_at = self.now + WRITE_INTERVAL_MS;
                let changes = node.table.take_row_changes(now);
                self.writes.push((self.now + delay, changes));
            }
        }
        let writes = std::mem::take(&mut self.writes);
        let (due, later) = writes.into_iter().partition(|(at, _)| *at <= self.now);
        self.writes = later;
        let due: Vec<(u64, CrashRowChanges)> = due;
        for (_, changes) in due {
            self.apply_changes(changes);
        }
        for node in &mut self.nodes {
            while let Some((at, key, row)) = self.log.get(node.applied) {
                if at + node.feed_delay > self.now {
                    break;
                }
                match row {
                    Some(row) => node.table.apply_row(now, *key, *row),
                    None => node.table.remove_row(*key),
                }
                node.applied += 1;
            }
        }
    }

    fn apply_changes(&mut self, changes: CrashRowChanges) {
        self.counts.rows += changes.puts.len();
        for (key, row) in changes.puts {
            self.rows.insert(key, (self.now, row));
            self.log.push((self.now, key, Some(row)));
        }
        for key in changes.deletes {
            if self.rows.remove(&key).is_some() {
                self.log.push((self.now, key, None));
            }
        }
    }

    fn restart(&mut self, index: usize) {
        let now = self.moment();
        let rows: Vec<(CrashKey, CrashRow)> = self
            .rows
            .iter()
            .map(|(key, (_, row))| (*key, *row))
            .collect();
        let node = &mut self.nodes[index];
        node.table = CrashTable::new(QUARANTINE);
        node.table.apply_all_rows(now, &rows);
        node.applied = self.log.len();
    }

    fn count_wrongly_blamed(&mut self) {
        for node in &mut self.nodes {
            let is_wrong = |decision: &CrashDecision| {
                matches!(decision, CrashDecision::Blamed { subject, .. }
                    if *subject != CrashSubject::Part(BAD))
            };
            let decisions = node.table.take_decisions();
            self.counts.wrongly_blamed += decisions.iter().filter(|it| is_wrong(it)).count();
        }
    }
}
