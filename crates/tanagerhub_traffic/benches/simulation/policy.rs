//! The policy under test, and the baseline to compare it with.

use std::collections::HashMap;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use slotmap::{Key, KeyData};
use tanagerhub_catalogue::GroupId;
use tanagerhub_clock::Moment;
use tanagerhub_traffic::{
    AttemptEvent, AttemptKey, Decision, Dispatch, Next, Outcome, Repeat, RequestInfo, RouteTable,
    Traffic,
};

/// The routing policy of a node.
#[derive(Debug)]
pub enum Policy {
    /// The policy of this crate.
    Tanagerhub(Box<Traffic>),
    /// The baseline.
    Baseline(Box<Baseline>),
}

/// A decision of the policy that the simulation performs.
#[derive(Debug, Clone, Copy)]
pub enum Action {
    /// Send the request to a group.
    Send(Attempt),
    /// Leave the request in the queue.
    Wait,
    /// Respond with an error that has this outcome, with or without a time to retry after.
    Error { retry_after: bool, outcome: Outcome },
    /// Cancel another attempt of the request.
    Cancel(u64),
    /// Continue without a change.
    Nothing,
}

/// One attempt to send a request to a group.
#[derive(Debug, Clone, Copy)]
pub struct Attempt {
    pub id: u64,
    pub group: GroupId,
    pub priority: u8,
    pub resume_at: u32,
    pub first_byte_deadline: Moment,
}

/// Chooses groups at random, retries without limit until the deadline, and has no fairness.
#[derive(Debug)]
pub struct Baseline {
    random: ChaCha8Rng,
    groups: Vec<GroupId>,
    attempts: HashMap<u64, (RequestInfo, u32)>,
    next_attempt: u64,
}

impl Baseline {
    pub fn new(seed: u64) -> Self {
        Self {
            random: ChaCha8Rng::seed_from_u64(seed),
            groups: Vec::new(),
            attempts: HashMap::new(),
            next_attempt: 0,
        }
    }

    fn send(&mut self, info: RequestInfo, tokens: u32) -> Action {
        if self.groups.is_empty() {
            return Action::Error {
                retry_after: false,
                outcome: Outcome::NotRun,
            };
        }
        self.next_attempt += 1;
        let group = self.groups[self.random.random_range(0..self.groups.len())];
        let first_byte_deadline = info.deadline;
        self.attempts.insert(self.next_attempt, (info, tokens));
        Action::Send(Attempt {
            id: self.next_attempt,
            group,
            priority: 0,
            resume_at: 0,
            first_byte_deadline,
        })
    }

    fn report(&mut self, attempt: u64, event: AttemptEvent) -> Action {
        match event {
            AttemptEvent::Token(count) => {
                if let Some((_, tokens)) = self.attempts.get_mut(&attempt) {
                    *tokens = count;
                }
                Action::Nothing
            }
            AttemptEvent::Finished { .. } => {
                self.attempts.remove(&attempt);
                Action::Nothing
            }
            AttemptEvent::ConnectFailed | AttemptEvent::Broke | AttemptEvent::TimedOut => {
                let Some((info, tokens)) = self.attempts.remove(&attempt) else {
                    return Action::Nothing;
                };
                // Part of the response has already been sent to the caller, so the request can't
                // be repeated.
                if tokens > 0 {
                    return Action::Error {
                        retry_after: false,
                        outcome: Outcome::Ran,
                    };
                }
                self.send(info, 0)
            }
            _ => Action::Nothing,
        }
    }
}

impl Policy {
    pub fn routes(&mut self, now: Moment, table: RouteTable) {
        match self {
            Self::Tanagerhub(traffic) => traffic.apply_routes(now, table),
            Self::Baseline(baseline) => {
                let accepting = table.routes.iter().filter(|route| route.takes_work());
                baseline.groups = accepting.map(|route| route.group).collect();
            }
        }
    }

    pub fn submit(&mut self, now: Moment, info: RequestInfo) -> Action {
        match self {
            Self::Tanagerhub(traffic) => action_for_decision(&traffic.submit(now, info)),
            Self::Baseline(baseline) => baseline.send(info, 0),
        }
    }

    pub fn poll(&mut self, now: Moment) -> Vec<(usize, Action)> {
        let Self::Tanagerhub(traffic) = self else {
            return Vec::new();
        };
        let ready = traffic.poll(now).into_iter();
        ready
            .map(|(id, decision)| {
                (
                    usize::try_from(id.0).unwrap(),
                    action_for_decision(&decision),
                )
            })
            .collect()
    }

    pub fn next_wakeup(&self) -> Option<Moment> {
        match self {
            Self::Tanagerhub(traffic) => traffic.next_wakeup(),
            Self::Baseline(_) => None,
        }
    }

    pub fn report(&mut self, now: Moment, attempt: u64, event: AttemptEvent) -> Action {
        let traffic = match self {
            Self::Tanagerhub(traffic) => traffic,
            Self::Baseline(baseline) => return baseline.report(attempt, event),
        };
        let key = AttemptKey::from(KeyData::from_ffi(attempt));
        match traffic.report(now, key, event) {
            Next::Continue | Next::Done => Action::Nothing,
            Next::CancelOther(other) => Action::Cancel(other.data().as_ffi()),
            Next::Retry(dispatch) => action_for_dispatch(&dispatch),
            Next::Wait(_) => Action::Wait,
            Next::Fail(refusal) => Action::Error {
                retry_after: refusal.retry_after.is_some(),
                outcome: refusal.outcome,
            },
        }
    }
}

fn action_for_decision(decision: &Decision) -> Action {
    match decision {
        Decision::Dispatch(dispatch) => action_for_dispatch(dispatch),
        Decision::Wait(_) => Action::Wait,
        Decision::Refuse(refusal) => Action::Error {
            retry_after: refusal.retry_after.is_some(),
            outcome: refusal.outcome,
        },
    }
}

fn action_for_dispatch(dispatch: &Dispatch) -> Action {
    Action::Send(Attempt {
        id: dispatch.attempt.data().as_ffi(),
        group: dispatch.group,
        priority: dispatch.priority,
        resume_at: dispatch.resume_at,
        first_byte_deadline: dispatch.first_byte_deadline,
    })
}

/// Returns whether a request may be repeated: one in ten may not.
pub const fn repeat_for(number: usize) -> Repeat {
    if number % 10 == 9 {
        Repeat::Never
    } else {
        Repeat::Resume
    }
}
