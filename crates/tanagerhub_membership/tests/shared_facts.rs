//! Tests of shared facts: the newest replaces older ones, ages add up, the size is limited.

use std::time::Duration;

use proptest::prelude::*;
use tanagerhub_catalogue::{Epoch, GroupId, Health};
use tanagerhub_clock::Moment;
use tanagerhub_membership::{AgedFact, Fact, SharedFacts, ShortAge};

fn attested(group: u64, epoch: u64) -> Fact {
    Fact::Attested {
        group: GroupId(group),
        epoch: Epoch(epoch),
        health: Health::Warm,
    }
}

fn record(facts: &mut SharedFacts, fact: Fact, age: u64, now: Moment) -> bool {
    let age = Duration::from_millis(age);
    facts.record(AgedFact { fact, age }, now)
}

/// Sends a batch from `from` to `to`, over a link with a round-trip time of `transit` milliseconds.
fn transfer(from: &mut SharedFacts, to: &mut SharedFacts, transit: u64, now: Moment) {
    let batch = from.batch(&to.digest(), now);
    to.merge(&batch, Duration::from_millis(transit), now);
}

#[test]
fn record_newer_epoch_wins() {
    let mut facts = SharedFacts::default();
    let now = Moment::from_millis(10_000);
    assert!(record(&mut facts, attested(1, 2), 500, now));
    assert!(!record(&mut facts, attested(1, 1), 0, now));
    assert!(record(&mut facts, attested(1, 3), 900, now));
    assert_eq!(
        facts.aged(now).next().map(|it| it.fact),
        Some(attested(1, 3))
    );
}

#[test]
fn record_too_old() {
    let mut facts = SharedFacts::default();
    let now = Moment::from_millis(60_000);
    assert!(!record(&mut facts, attested(1, 1), 4_000, now));
    assert!(facts.is_empty());
}

#[test]
fn record_beyond_size() {
    let mut facts = SharedFacts::default();
    for fingerprint in 0..10_000 {
        let fact = Fact::Crashed {
            fingerprint,
            count: 1,
        };
        record(&mut facts, fact, 0, Moment::ZERO);
    }
    assert_eq!(facts.len(), 4_096);
}

/// Records as many attestations as fit, from the group `first` on.
fn fill(facts: &mut SharedFacts, first: u64, now: Moment) {
    for group in first..first + 5_000 {
        record(facts, attested(group, 1), 0, now);
    }
    assert_eq!(facts.len(), 4_096);
}

#[test]
fn record_beyond_size_renews_known_group() {
    let mut facts = SharedFacts::default();
    fill(&mut facts, 0, Moment::ZERO);
    let later = Moment::from_millis(1_000);
    assert!(record(&mut facts, attested(7, 1), 0, later));
    assert!(record(&mut facts, attested(8, 2), 0, later));
    assert!(!record(&mut facts, attested(5_000, 1), 0, later));
    assert_eq!(facts.len(), 4_096);
}

#[test]
fn merge_beyond_size() {
    let (mut one, mut two) = (SharedFacts::default(), SharedFacts::default());
    let now = Moment::from_millis(10_000);
    fill(&mut one, 10_000, now);
    fill(&mut two, 0, now);
    transfer(&mut one, &mut two, 0, now);
    assert_eq!(two.len(), 4_096);
}

#[test]
fn expire_by_kind() {
    let mut facts = SharedFacts::default();
    let crashed = Fact::Crashed {
        fingerprint: 7,
        count: 2,
    };
    record(&mut facts, crashed, 0, Moment::ZERO);
    record(&mut facts, attested(1, 1), 0, Moment::ZERO);
    let later = Moment::from_millis(5_000);
    facts.expire(later);
    let left: Vec<_> = facts.aged(later).map(|it| it.fact).collect();
    assert_eq!(left, [crashed]);
}

#[test]
fn merge_rounds_ages_up() {
    let (mut one, mut two) = (SharedFacts::default(), SharedFacts::default());
    let start = Moment::from_millis(10_000);
    record(&mut one, attested(9, 1), 0, start);
    let now = start + Duration::from_millis(101);
    transfer(&mut one, &mut two, 20, now);
    let age = two.aged(now).next().map(|it| it.age);
    assert_eq!(age, Some(Duration::from_millis(3 * 40 + 20)));
}

#[test]
fn merge_by_ages_alone() {
    let (mut one, mut two) = (SharedFacts::default(), SharedFacts::default());
    let now = Moment::from_millis(10_000);
    for group in 0..50 {
        record(&mut one, attested(group << 57, 1), 0, now);
        record(&mut two, attested(group << 57, 1), 3_000, now);
    }
    transfer(&mut one, &mut two, 0, now);
    assert!(two.aged(now).all(|it| it.age == Duration::ZERO));
}

#[test]
fn merge_after_directory_changed() {
    let (mut one, mut two) = (SharedFacts::default(), SharedFacts::default());
    let now = Moment::from_millis(10_000);
    for group in [1, 2] {
        record(&mut one, attested(group, 1), 0, now);
        record(&mut two, attested(group, 1), 3_000, now);
    }
    let batch = one.batch(&two.digest(), now);
    // Another group is recorded between probe and response, so the list of ages no longer matches.
    record(&mut two, attested(0, 1), 3_000, now);
    two.merge(&batch, Duration::ZERO, now);
    assert!(two.aged(now).all(|it| it.age == Duration::from_secs(3)));
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 64, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn short_age_never_younger(millis in 0_u64..10_000) {
        let age = Duration::from_millis(millis);
        if let Some(rounded) = ShortAge::of(age).to_duration() {
            prop_assert!(rounded >= age);
            prop_assert!(rounded < age + Duration::from_millis(16));
        } else {
            prop_assert!(age > Duration::from_secs(4));
        }
    }

    #[test]
    fn merge_never_younger(
        seen in prop::collection::vec((0_u64..20, 1_u64..4, 0_u64..3_000), 1..60),
        transits in prop::collection::vec(0_u64..200, 1..8),
    ) {
        let mut nodes: Vec<SharedFacts> = (0..3).map(|_| SharedFacts::default()).collect();
        let start = Moment::from_millis(10_000);
        for (group, epoch, age) in &seen {
            record(&mut nodes[0], attested(group << 60, *epoch), *age, start);
        }
        let mut now = start;
        for (index, transit) in transits.iter().enumerate() {
            now = now + Duration::from_millis(*transit);
            let (from, to) = (index % 3, (index + 1) % 3);
            let mut source = std::mem::take(&mut nodes[from]);
            transfer(&mut source, &mut nodes[to], *transit, now);
            nodes[from] = source;
        }
        let true_age = |fact: &Fact| {
            let same = seen.iter().filter(|it| attested(it.0 << 60, it.1) == *fact);
            same.map(|it| Duration::from_millis(it.2) + now.since(start)).min()
        };
        for node in &nodes {
            for known in node.aged(now) {
                let expected = true_age(&known.fact);
                prop_assert!(expected.is_some_and(|expected| known.age >= expected), "{known:?}");
            }
        }
    }
}
