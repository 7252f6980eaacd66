//! Many nodes before a few overloaded groups: most answers that are given come on time.

#[path = "support/advisor.rs"]
mod advisor;

use std::collections::VecDeque;
use std::time::Duration;

use tanagerhub_catalogue::{EntryId, OrganisationId, RequestId};
use tanagerhub_clock::Moment;
use tanagerhub_traffic::{AttemptEvent, AttemptKey, Decision, Freshness, RequestInfo, Traffic};

const OBJECTIVE: Duration = Duration::from_millis(400);
/// How long a group reads one prompt; it reads them one after the other.
const PROMPT: Duration = Duration::from_millis(40);
/// How long a stream goes on after its first byte.
const STREAM: Duration = Duration::from_millis(500);
const STEP: Duration = Duration::from_millis(5);
const NODES: usize = 40;
const GROUPS: usize = 4;
/// Prompts that all groups read in a second.
const CAPACITY: u64 = 100;

/// A request at a group.
#[derive(Debug, Clone, Copy)]
struct Prompt {
    node: usize,
    attempt: AttemptKey,
    came: Moment,
}

struct Fleet {
    now: Moment,
    nodes: Vec<Traffic>,
    /// Prompts at each group, and until when it reads the last one.
    groups: Vec<(VecDeque<Prompt>, Moment)>,
    streams: Vec<(usize, AttemptKey, Moment)>,
    came: Vec<Moment>,
    on_time: u64,
    late: u64,
    refused: u64,
}

impl Fleet {
    fn new() -> Self {
        let now = Moment::from_millis(1_000);
        let routes: Vec<_> = (1..=4).map(|group| (group, 2, None)).collect();
        let fresh = Freshness {
            takes_work: true,
            live_nodes: u32::try_from(NODES).unwrap(),
            place: 0,
        };
        let node = |seed| {
            let mut node = advisor::traffic(seed, now, advisor::settings(), &routes);
            node.freshness(now, fresh);
            node
        };
        Self {
            now,
            nodes: (0..).map(node).take(NODES).collect(),
            groups: vec![(VecDeque::new(), now); GROUPS],
            streams: Vec::new(),
            came: Vec::new(),
            on_time: 0,
            late: 0,
            refused: 0,
        }
    }

    /// Plays arrivals at a steady rate, spread over the nodes.
    fn play(&mut self, per_second: u64, span: Duration) {
        let gap = Duration::from_micros(1_000_000 / per_second);
        let end = self.now + span;
        let mut next = self.now;
        while self.now < end {
            self.now = self.now + STEP;
            while next <= self.now {
                next = next + gap;
                self.arrive();
            }
            self.read();
            for node in 0..NODES {
                for (id, decision) in self.nodes[node].poll(self.now) {
                    self.obey(node, id, &decision);
                }
            }
        }
    }

    fn arrive(&mut self) {
        let number = self.came.len();
        let id = RequestId(u64::try_from(number).unwrap());
        let info = RequestInfo::new(id, OrganisationId::of("shop"), EntryId::of("advisor"))
            .deadline(self.now + Duration::from_secs(8))
            .patience(OBJECTIVE / 2)
            .objective(OBJECTIVE);
        self.came.push(self.now);
        let node = number * 7 % NODES;
        let decision = self.nodes[node].submit(self.now, info);
        self.obey(node, id, &decision);
    }

    fn obey(&mut self, node: usize, id: RequestId, decision: &Decision) {
        match decision {
            Decision::Dispatch(dispatch) => {
                let group = usize::from(dispatch.address.port()) - 9_001;
                self.groups[group].0.push_back(Prompt {
                    node,
                    attempt: dispatch.attempt,
                    came: self.came[usize::try_from(id.0).unwrap()],
                });
            }
            Decision::Refuse(_) => self.refused += 1,
            Decision::Wait(_) => {}
        }
    }

    fn read(&mut self) {
        let now = self.now;
        for (prompts, read_until) in &mut self.groups {
            if now < *read_until {
                continue;
            }
            let Some(prompt) = prompts.pop_front() else {
                continue;
            };
            *read_until = now + PROMPT;
            self.nodes[prompt.node].report(now, prompt.attempt, AttemptEvent::FirstByte);
            if now.since(prompt.came) <= OBJECTIVE {
                self.on_time += 1;
            } else {
                self.late += 1;
            }
            self.streams
                .push((prompt.node, prompt.attempt, now + STREAM));
        }
        let (done, open): (Vec<_>, Vec<_>) =
            self.streams.drain(..).partition(|(_, _, end)| *end <= now);
        self.streams = open;
        for (node, attempt, _) in done {
            let event = AttemptEvent::Finished { tokens: 10 };
            self.nodes[node].report(now, attempt, event);
        }
    }
}

#[test]
fn overload_keeps_most_on_time() {
    let mut fleet = Fleet::new();
    // The nodes find their pace, each from a few answers a second.
    fleet.play(CAPACITY * 3 / 2, Duration::from_secs(10));
    (fleet.on_time, fleet.late, fleet.refused) = (0, 0, 0);
    fleet.play(CAPACITY * 3 / 2, Duration::from_secs(20));
    let Fleet {
        on_time,
        late,
        refused,
        ..
    } = fleet;
    let shown = format!("{on_time} on time, {late} late, {refused} refused");
    // Two thirds of what the groups can read in that time, and few of them for nothing.
    assert!(on_time >= CAPACITY * 20 * 2 / 3, "{shown}");
    assert!(late * 4 <= on_time, "{shown}");
}

#[test]
fn ordinary_load_is_not_held_up() {
    let mut fleet = Fleet::new();
    fleet.play(CAPACITY / 2, Duration::from_secs(20));
    assert_eq!(fleet.refused, 0);
    assert_eq!(fleet.late, 0);
}
