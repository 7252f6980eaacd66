//! An overloaded group: requests whose first byte would come late are refused early.

#[path = "support/advisor.rs"]
mod advisor;

use std::collections::VecDeque;
use std::time::Duration;

use tanagerhub_catalogue::{EntryId, OrganisationId, RequestId};
use tanagerhub_clock::Moment;
use tanagerhub_traffic::{AttemptEvent, AttemptKey, Decision, RequestInfo, Traffic};

const OBJECTIVE: Duration = Duration::from_millis(400);
/// Time in which the group processes one prompt; it processes them one after the other.
const PROMPT_TIME: Duration = Duration::from_millis(40);
/// Duration of a stream after its first byte.
const STREAM_TIME: Duration = Duration::from_millis(500);
const STEP: Duration = Duration::from_millis(5);

/// Number of requests by their result for the caller.
#[derive(Debug, Default)]
struct Outcomes {
    on_time: usize,
    late: usize,
    refused: usize,
}

struct Simulation {
    now: Moment,
    traffic: Traffic,
    /// Prompts queued at the group, with the submission times of their requests.
    queued_prompts: VecDeque<(AttemptKey, Moment)>,
    busy_until: Moment,
    streams: Vec<(AttemptKey, Moment)>,
    arrivals: Vec<(RequestId, Moment)>,
    outcomes: Outcomes,
}

impl Simulation {
    fn new() -> Self {
        let now = Moment::from_millis(1_000);
        let traffic = advisor::traffic(now, advisor::settings(), &[(1, 64, None)]);
        Self {
            now,
            traffic,
            queued_prompts: VecDeque::new(),
            busy_until: now,
            streams: Vec::new(),
            arrivals: Vec::new(),
            outcomes: Outcomes::default(),
        }
    }

    /// Submits requests at a steady rate for the given time.
    fn run(&mut self, per_second: u64, duration: Duration) {
        let gap = Duration::from_micros(1_000_000 / per_second);
        let end = self.now + duration;
        let mut next = self.now;
        let mut id = 0;
        while self.now < end {
            self.now = self.now + STEP;
            while next <= self.now {
                next = next + gap;
                id += 1;
                self.submit(RequestId(id));
            }
            self.serve();
            for (id, decision) in self.traffic.poll(self.now) {
                self.apply_decision(id, &decision);
            }
        }
    }

    fn submit(&mut self, id: RequestId) {
        let entry = EntryId::of("advisor");
        let info = RequestInfo::new(id, OrganisationId::of("shop"), entry)
            .deadline(self.now + Duration::from_secs(8))
            .queue_timeout(OBJECTIVE / 2)
            .objective(OBJECTIVE);
        self.arrivals.push((id, self.now));
        let decision = self.traffic.submit(self.now, info);
        self.apply_decision(id, &decision);
    }

    fn apply_decision(&mut self, id: RequestId, decision: &Decision) {
        match decision {
            Decision::Dispatch(dispatch) => {
                let arrived = self
                    .arrivals
                    .iter()
                    .find(|(known, _)| *known == id)
                    .unwrap()
                    .1;
                self.queued_prompts.push_back((dispatch.attempt, arrived));
            }
            Decision::Refuse(_) => self.outcomes.refused += 1,
            Decision::Wait(_) => {}
        }
    }

    fn serve(&mut self) {
        if self.now >= self.busy_until
            && let Some((attempt, arrived)) = self.queued_prompts.pop_front()
        {
            self.busy_until = self.now + PROMPT_TIME;
            self.traffic
                .report(self.now, attempt, AttemptEvent::FirstByte);
            if self.now.since(arrived) <= OBJECTIVE {
                self.outcomes.on_time += 1;
            } else {
                self.outcomes.late += 1;
            }
            self.streams.push((attempt, self.now + STREAM_TIME));
        }
        let now = self.now;
        let finished: Vec<AttemptKey> = self
            .streams
            .iter()
            .filter(|(_, end)| *end <= now)
            .map(|(attempt, _)| *attempt)
            .collect();
        self.streams.retain(|(_, end)| *end > now);
        for attempt in finished {
            let event = AttemptEvent::Finished { tokens: 10 };
            self.traffic.report(now, attempt, event);
        }
    }
}

#[test]
fn run_overload_most_on_time() {
    let mut simulation = Simulation::new();
    // The group processes at most 25 prompts per second.
    simulation.run(40, Duration::from_secs(20));
    let Outcomes {
        on_time,
        late,
        refused,
    } = simulation.outcomes;
    assert!(
        on_time >= 400,
        "{on_time} on time, {late} late, {refused} refused"
    );
    assert!(late * 10 <= on_time, "{on_time} on time, {late} late");
    assert!(refused > 0);
}

#[test]
fn run_usual_load_not_refused() {
    let mut simulation = Simulation::new();
    simulation.run(15, Duration::from_secs(20));
    assert_eq!(simulation.outcomes.refused, 0, "{:?}", simulation.outcomes);
    assert_eq!(simulation.outcomes.late, 0, "{:?}", simulation.outcomes);
}
