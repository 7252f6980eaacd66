//! Tests that the checker fails on a bad log of each promise, and passes its good twin.

use std::net::SocketAddr;
use std::time::Duration;

use tanagerhub_catalogue::{BootId, CatalogueVersion, Epoch, GroupId, Rank, VmId};
use tanagerhub_clock::Moment;
use tanagerhub_standins::{
    Absence, Checker, Fact, Log, Outcome, Place, Promise, Record, Started, Verdict, Violation, Work,
};
use yare::parameterized;

const A: GroupId = GroupId(1);
const B: GroupId = GroupId(2);

fn vm(number: u64) -> VmId {
    VmId(number)
}

fn work() -> Work {
    Work("w-1".to_owned())
}

fn node() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 80))
}

fn log(facts: Vec<(u64, Fact)>) -> Log {
    let records = facts
        .into_iter()
        .map(|(second, fact)| Record {
            at: Moment::ZERO + Duration::from_secs(second),
            fact,
        })
        .collect();
    Log {
        records,
        dropped: 0,
    }
}

fn joined(group: GroupId, members: [u64; 2]) -> Vec<(u64, Fact)> {
    let join = |(rank, member): (u16, &u64)| Fact::Joined {
        vm: vm(*member),
        boot: BootId(1),
        group,
        epoch: Epoch(1),
        rank: Rank(rank),
        members: members.map(vm).to_vec(),
    };
    (0..).zip(&members).map(|place| (0, join(place))).collect()
}

fn started(name: &str, on: u64, group: GroupId) -> Started {
    Started {
        work: Work(name.to_owned()),
        vm: vm(on),
        group,
        epoch: Epoch(1),
        boot: BootId(1),
        cold: false,
        running: 1,
        cold_limit: 1,
    }
}

fn dead(on: u64) -> Fact {
    Fact::Missing {
        vm: vm(on),
        absence: Absence::Dead,
    }
}

fn finished(name: &str, on: u64, group: GroupId) -> Fact {
    Fact::Finished {
        work: Work(name.to_owned()),
        vm: vm(on),
        group,
    }
}

fn finish_with_member(gone: bool) -> Vec<(u64, Fact)> {
    let mut facts = joined(A, [1, 2]);
    facts.push((1, Fact::Started(started("w-1", 1, A))));
    if gone {
        facts.push((2, dead(2)));
    }
    facts.push((3, finished("w-1", 1, A)));
    facts
}

fn start_after_pause(second: u64) -> Vec<(u64, Fact)> {
    let mut facts = joined(A, [1, 2]);
    let absence = Absence::Paused;
    facts.push((1, Fact::Missing { vm: vm(2), absence }));
    facts.push((second, Fact::Started(started("w-1", 1, A))));
    facts
}

fn two_groups(shared: bool) -> Vec<(u64, Fact)> {
    let mut facts = joined(A, [1, 2]);
    facts.extend(joined(B, [3, if shared { 2 } else { 4 }]));
    facts.push((1, Fact::Started(started("w-1", 1, A))));
    facts.push((1, Fact::Started(started("w-2", 3, B))));
    facts
}

fn cold_start(running: u32) -> Vec<(u64, Fact)> {
    let mut start = started("w-1", 1, A);
    start.cold = true;
    start.running = running;
    vec![(1, Fact::Started(start))]
}

fn data_centre_out(second: u64) -> Vec<(u64, Fact)> {
    let data_centre = "tbs-a".to_owned();
    vec![
        (
            0,
            Fact::Placed {
                vm: vm(1),
                data_centre: data_centre.clone(),
            },
        ),
        (1, Fact::TakenOut(Place::DataCentre(data_centre))),
        (second, Fact::Started(started("w-1", 1, A))),
    ]
}

fn answered(verdict: Verdict) -> Vec<(u64, Fact)> {
    vec![
        (
            0,
            Fact::Sent {
                work: work(),
                node: node(),
            },
        ),
        (
            1,
            Fact::Answered {
                work: work(),
                node: node(),
                verdict,
            },
        ),
    ]
}

fn not_run(ran: bool) -> Vec<(u64, Fact)> {
    let mut facts = answered(Verdict::Refused(Outcome::NotRun));
    if ran {
        facts.insert(1, (1, Fact::Started(started("w-1", 1, A))));
    }
    facts
}

fn runs(times: usize) -> Vec<(u64, Fact)> {
    let ran = Fact::Ran {
        work: work(),
        vm: vm(1),
        repeatable: false,
    };
    vec![(0, ran); times]
}

fn leaving(second: u64) -> Vec<(u64, Fact)> {
    vec![
        (1, Fact::Leaving { vm: vm(1) }),
        (second, Fact::Started(started("w-1", 1, A))),
    ]
}

fn stopping(verdict: Verdict) -> Vec<(u64, Fact)> {
    let mut facts = answered(verdict);
    facts.insert(1, (1, Fact::Stopping { node: node() }));
    facts
}

fn versions(accepted: u64, seen: [u64; 2]) -> Vec<(u64, Fact)> {
    let in_force = |version| Fact::InForce {
        node: node(),
        version: CatalogueVersion(version),
    };
    let version = CatalogueVersion(accepted);
    vec![
        (0, Fact::Accepted { version }),
        (10, in_force(seen[0])),
        (20, in_force(seen[1])),
    ]
}

#[parameterized(
    finish_without_member = { finish_with_member(true), Promise::WholeGroups },
    start_without_member = { start_after_pause(7), Promise::WholeGroups },
    shared_vm = { two_groups(true), Promise::DisjointGroups },
    cold_overload = { cold_start(2), Promise::ColdLimit },
    data_centre = { data_centre_out(7), Promise::DataCentreOut },
    wrong_answer = { answered(Verdict::Wrong), Promise::WholeAnswers },
    no_answer = { answered(Verdict::Whole)[..1].to_vec(), Promise::WholeAnswers },
    false_not_run = { not_run(true), Promise::TrueNotRun },
    ran_twice = { runs(2), Promise::AtMostOnce },
    leaving_server = { leaving(7), Promise::LeavingServer },
    cut_by_shutdown = { stopping(Verdict::Cut), Promise::GracefulShutdown },
    late_version = { versions(3, [2, 2]), Promise::Configuration },
    reverted = { versions(1, [3, 2]), Promise::Configuration },
)]
fn check_bad_log(facts: Vec<(u64, Fact)>, broken: Promise) {
    let violations = Checker::default().check(&log(facts));
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
    whole_answer = { answered(Verdict::Whole) },
    cut_answer = { answered(Verdict::Cut) },
    true_not_run = { not_run(false) },
    ran_once = { runs(1) },
    leaving_server = { leaving(6) },
    whole_in_shutdown = { stopping(Verdict::Whole) },
    versions_rise = { versions(3, [2, 3]) },
)]
fn check_good_log(facts: Vec<(u64, Fact)>) {
    assert_eq!(Checker::default().check(&log(facts)), []);
}

#[test]
fn check_overflow_is_no_pass() {
    let log = Log {
        records: Vec::new(),
        dropped: 1,
    };
    let violations = Checker::default().check(&log);
    assert_eq!(violations, [Violation::LogOverflow { dropped: 1 }]);
}
