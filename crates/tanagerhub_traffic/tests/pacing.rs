//! An overloaded group: callers whose answers would come late are told so at once.

#[path = "support/advisor.rs"]
mod advisor;

use std::collections::VecDeque;
use std::time::Duration;

use tanagerhub_catalogue::{EntryId, OrganisationId, RequestId};
use tanagerhub_clock::Moment;
use tanagerhub_traffic::{AttemptEvent, AttemptKey, Decision, RequestInfo, Traffic};

const OBJECTIVE: Duration = Duration::from_millis(400);
/// How long the group reads one prompt; it reads them one after the other.
const PROMPT: Duration = Duration::from_millis(40);
/// How long a stream goes on after its first byte.
const STREAM: Duration = Duration::from_millis(500);
const STEP: Duration = Duration::from_millis(5);

/// What callers got.
#[derive(Debug, Default)]
struct Result {
    on_time: usize,
    late: usize,
    refused: usize,
}

struct World {
    now: Moment,
    traffic: Traffic,
    /// Prompts at the group, with when their requests came.
    prompts: VecDeque<(AttemptKey, Moment)>,
    read_until: Moment,
    streams: Vec<(AttemptKey, Moment)>,
    came: Vec<(RequestId, Moment)>,
    result: Result,
}

impl World {
    fn new() -> Self {
        let now = Moment::from_millis(1_000);
        let traffic = advisor::traffic(now, advisor::settings(), &[(1, 64, None)]);
        Self {
            now,
            traffic,
            prompts: VecDeque::new(),
            read_until: now,
            streams: Vec::new(),
            came: Vec::new(),
            result: Result::default(),
        }
    }

    /// Plays arrivals at a steady rate.
    fn play(&mut self, per_second: u64, span: Duration) {
        let gap = Duration::from_micros(1_000_000 / per_second);
        let end = self.now + span;
        let mut next = self.now;
        let mut id = 0;
        while self.now < end {
            self.now = self.now + STEP;
            while next <= self.now {
                next = next + gap;
                id += 1;
                self.arrive(RequestId(id));
            }
            self.serve();
            for (id, decision) in self.traffic.poll(self.now) {
                self.obey(id, &decision);
            }
        }
    }

    fn arrive(&mut self, id: RequestId) {
        let entry = EntryId::of("advisor");
        let info = RequestInfo::new(id, OrganisationId::of("shop"), entry)
            .deadline(self.now + Duration::from_secs(8))
            .patience(OBJECTIVE / 2)
            .objective(OBJECTIVE);
        self.came.push((id, self.now));
        let decision = self.traffic.submit(self.now, info);
        self.obey(id, &decision);
    }

    fn obey(&mut self, id: RequestId, decision: &Decision) {
        match decision {
            Decision::Dispatch(dispatch) => {
                let came = self.came.iter().find(|(known, _)| *known == id).unwrap().1;
                self.prompts.push_back((dispatch.attempt, came));
            }
            Decision::Refuse(_) => self.result.refused += 1,
            Decision::Wait(_) => {}
        }
    }

    fn serve(&mut self) {
        if self.now >= self.read_until
            && let Some((attempt, came)) = self.prompts.pop_front()
        {
            self.read_until = self.now + PROMPT;
            self.traffic
                .report(self.now, attempt, AttemptEvent::FirstByte);
            if self.now.since(came) <= OBJECTIVE {
                self.result.on_time += 1;
            } else {
                self.result.late += 1;
            }
            self.streams.push((attempt, self.now + STREAM));
        }
        let now = self.now;
        let done: Vec<AttemptKey> = self
            .streams
            .iter()
            .filter(|(_, end)| *end <= now)
            .map(|(attempt, _)| *attempt)
            .collect();
        self.streams.retain(|(_, end)| *end > now);
        for attempt in done {
            let event = AttemptEvent::Finished { tokens: 10 };
            self.traffic.report(now, attempt, event);
        }
    }
}

#[test]
fn overload_keeps_most_on_time() {
    let mut world = World::new();
    // The group reads 25 prompts a second at most.
    world.play(40, Duration::from_secs(20));
    let Result {
        on_time,
        late,
        refused,
    } = world.result;
    assert!(
        on_time >= 400,
        "{on_time} on time, {late} late, {refused} refused"
    );
    assert!(late * 10 <= on_time, "{on_time} on time, {late} late");
    assert!(refused > 0);
}

#[test]
fn usual_load_is_not_refused() {
    let mut world = World::new();
    world.play(15, Duration::from_secs(20));
    assert_eq!(world.result.refused, 0, "{:?}", world.result);
    assert_eq!(world.result.late, 0, "{:?}", world.result);
}
