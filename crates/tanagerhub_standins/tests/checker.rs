//! Tests that, for each promise, the checker reports a log that violates it and accepts a similar
//! log that does not.

use std::net::SocketAddr;
use std::time::Duration;

use tanagerhub_catalogue::{BootId, CatalogueVersion, Epoch, GroupId, Rank, VmId};
use tanagerhub_clock::Moment;
use tanagerhub_standins::{
    Checker, Event, Log, MarkTarget, MissingCause, Outcome, Promise, Record, RequestId, Started,
    Verdict, Violation,
};
use yare::parameterized;

const A: GroupId = GroupId(1);
const B: GroupId = GroupId(2);

fn vm(number: u64) -> VmId {
    VmId(number)
}

fn request_id() -> RequestId {
    RequestId("w-1".to_owned())
}

fn node() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 80))
}

fn log(events: Vec<(u64, Event)>) -> Log {
    let records = events
        .into_iter()
        .map(|(second, event)| Record {
            at: Moment::ZERO + Duration::from_secs(second),
            event,
        })
        .collect();
    Log {
        records,
        dropped: 0,
    }
}

fn joined(group: GroupId, members: [u64; 2]) -> Vec<(u64, Event)> {
    let join = |(rank, member): (u16, &u64)| Event::JoinedGroup {
        vm: vm(*member),
        boot: BootId(1),
        group,
        epoch: Epoch(1),
        rank: Rank(rank),
        members: members.map(vm).to_vec(),
    };
    (0..)
        .zip(&members)
        .map(|ranked| (0, join(ranked)))
        .collect()
}

fn started(name: &str, on: u64, group: GroupId) -> Started {
    Started {
        request_id: RequestId(name.to_owned()),
        vm: vm(on),
        group,
        epoch: Epoch(1),
        boot: BootId(1),
        cold: false,
        running: 1,
        cold_limit: 1,
    }
}

fn dead(on: u64) -> Event {
    Event::Missing {
        vm: vm(on),
        cause: MissingCause::Dead,
    }
}

fn finished(name: &str, on: u64, group: GroupId) -> Event {
    Event::Finished {
        request_id: RequestId(name.to_owned()),
        vm: vm(on),
        group,
    }
}

fn finish_with_member(killed: bool) -> Vec<(u64, Event)> {
    let mut events = joined(A, [1, 2]);
    events.push((1, Event::Started(started("w-1", 1, A))));
    if killed {
        events.push((2, dead(2)));
    }
    events.push((3, finished("w-1", 1, A)));
    events
}

fn start_after_pause(second: u64) -> Vec<(u64, Event)> {
    let mut events = joined(A, [1, 2]);
    let cause = MissingCause::Paused;
    events.push((1, Event::Missing { vm: vm(2), cause }));
    events.push((second, Event::Started(started("w-1", 1, A))));
    events
}

fn two_groups(shared: bool) -> Vec<(u64, Event)> {
    let mut events = joined(A, [1, 2]);
    events.extend(joined(B, [3, if shared { 2 } else { 4 }]));
    events.push((1, Event::Started(started("w-1", 1, A))));
    events.push((1, Event::Started(started("w-2", 3, B))));
    events
}

fn cold_start(running: u32) -> Vec<(u64, Event)> {
    let mut start = started("w-1", 1, A);
    start.cold = true;
    start.running = running;
    vec![(1, Event::Started(start))]
}

fn data_centre_out(second: u64) -> Vec<(u64, Event)> {
    let data_centre = "tbs-a".to_owned();
    vec![
        (
            0,
            Event::Deployed {
                vm: vm(1),
                data_centre: data_centre.clone(),
            },
        ),
        (1, Event::MarkedOut(MarkTarget::DataCentre(data_centre))),
        (second, Event::Started(started("w-1", 1, A))),
    ]
}

fn completed(verdict: Verdict) -> Vec<(u64, Event)> {
    vec![
        (
            0,
            Event::Sent {
                request_id: request_id(),
                node: node(),
            },
        ),
        (
            1,
            Event::Completed {
                request_id: request_id(),
                node: node(),
                verdict,
            },
        ),
    ]
}

fn not_run(ran: bool) -> Vec<(u64, Event)> {
    let mut events = completed(Verdict::Refused(Outcome::NotRun));
    if ran {
        events.insert(1, (1, Event::Started(started("w-1", 1, A))));
    }
    events
}

fn runs(times: usize) -> Vec<(u64, Event)> {
    let ran = Event::Ran {
        request_id: request_id(),
        vm: vm(1),
        repeatable: false,
    };
    vec![(0, ran); times]
}

fn leaving(second: u64) -> Vec<(u64, Event)> {
    vec![
        (1, Event::Leaving { vm: vm(1) }),
        (second, Event::Started(started("w-1", 1, A))),
    ]
}

fn stopping(verdict: Verdict) -> Vec<(u64, Event)> {
    let mut events = completed(verdict);
    events.insert(1, (1, Event::NodeStopping { node: node() }));
    events
}

fn versions(accepted: u64, seen: [u64; 2]) -> Vec<(u64, Event)> {
    let in_force = |version| Event::InForce {
        node: node(),
        version: CatalogueVersion(version),
    };
    let version = CatalogueVersion(accepted);
    vec![
        (0, Event::Accepted { version }),
        (10, in_force(seen[0])),
        (20, in_force(seen[1])),
    ]
}

#[parameterized(
    finish_without_member = { finish_with_member(true), Promise::CompleteGroups },
    start_without_member = { start_after_pause(7), Promise::CompleteGroups },
    shared_vm = { two_groups(true), Promise::DisjointGroups },
    cold_overload = { cold_start(2), Promise::ColdLimit },
    data_centre = { data_centre_out(7), Promise::DataCentreOut },
    wrong_response = { completed(Verdict::Wrong), Promise::CompleteResponses },
    no_response = { completed(Verdict::Complete)[..1].to_vec(), Promise::CompleteResponses },
    false_not_run = { not_run(true), Promise::TrueNotRun },
    ran_twice = { runs(2), Promise::AtMostOnce },
    leaving_server = { leaving(7), Promise::LeavingServer },
    truncated_by_shutdown = { stopping(Verdict::Truncated), Promise::GracefulShutdown },
    late_version = { versions(3, [2, 2]), Promise::Configuration },
    reverted = { versions(1, [3, 2]), Promise::Configuration },
)]
fn check_bad_log(events: Vec<(u64, Event)>, broken: Promise) {
    let violations = Checker::default().check(&log(events));
    assert!(!violations.is_empty());
    for violation in violations {
        assert_eq!(violation.promise(), Some(broken));
    }
}

#[parameterized(
    finish_with_all = { finish_with_member(false) },
    start_in_time = { start_after_pause(6) },
    disjoint = { two_groups(false) },
    cold_within_limit = { cold_start(1) },
    data_centre = { data_centre_out(6) },
    complete_response = { completed(Verdict::Complete) },
    truncated_response = { completed(Verdict::Truncated) },
    true_not_run = { not_run(false) },
    ran_once = { runs(1) },
    leaving_server = { leaving(6) },
    complete_in_shutdown = { stopping(Verdict::Complete) },
    versions_rise = { versions(3, [2, 3]) },
)]
fn check_good_log(events: Vec<(u64, Event)>) {
    assert_eq!(Checker::default().check(&log(events)), []);
}

#[test]
fn check_log_overflow_fails() {
    let log = Log {
        records: Vec::new(),
        dropped: 1,
    };
    let violations = Checker::default().check(&log);
    assert_eq!(violations, [Violation::LogOverflow { dropped: 1 }]);
}
