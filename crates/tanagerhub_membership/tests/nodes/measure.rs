//! Measurements of many nodes in simulated time.

use std::time::Duration;

use tanagerhub_catalogue::{Epoch, GroupId, Health};
use tanagerhub_clock::Moment;
use tanagerhub_membership::{AgedFact, Fact, FactKey, MembershipEvent};

use crate::simulation::Simulation;
use crate::simulation::store::Mode;

const SECOND: Duration = Duration::from_secs(1);
const STEP: Duration = Duration::from_millis(100);
/// Number of nodes that watch one group.
const WATCHERS: u64 = 2;

/// The median, 95th percentile and maximum of some times.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Quantiles {
    pub p50: Duration,
    pub p95: Duration,
    pub max: Duration,
}

impl Quantiles {
    pub fn of(mut values: Vec<Duration>) -> Self {
        values.sort_unstable();
        let at = |percent: usize| values[(values.len() * percent / 100).min(values.len() - 1)];
        Self {
            p50: at(50),
            p95: at(95),
            max: at(100),
        }
    }
}

/// Measures the time from the commit of a change until each node adopts it, and until its outcome
/// is reported, over several changes.
pub fn time_to_adopt(simulation: &mut Simulation, changes: u64) -> (Quantiles, Quantiles) {
    let (mut adoptions, mut completions) = (Vec::new(), Vec::new());
    let start = simulation.version(0);
    for change in start..start + changes {
        let before = simulation.store.commits;
        let node = usize::try_from(change).unwrap() % simulation.nodes.len();
        simulation.apply(node, change + 1, change);
        while simulation.store.commits == before {
            simulation.run(Duration::from_millis(1));
        }
        let committed = simulation.now;
        simulation.run(SECOND * 20);
        for node in &simulation.nodes {
            let found = node.adopted.iter().find(|it| it.1.0 == change + 1);
            adoptions.push(found.map_or(SECOND * 99, |it| it.0.since(committed)));
        }
        completions.push(simulation.completed_at(change + 1).since(committed));
    }
    (Quantiles::of(adoptions), Quantiles::of(completions))
}

/// The cost and the results of the control traffic while groups are attested.
#[derive(Debug, Clone, Copy)]
pub struct Steady {
    /// Bytes of datagrams that a node sends per second: the mean and the maximum over the nodes.
    pub bytes: f64,
    pub bytes_max: f64,
    /// Share of node-seconds in which a node is fresh.
    pub fresh: f64,
    /// Age of the attestations at the nodes of the region.
    pub ages: Quantiles,
    /// Share of groups and node-seconds with an attestation younger than two seconds.
    pub attested: f64,
    /// Reads of the table, and rows read, per second by all nodes.
    pub reads: f64,
    pub rows: f64,
}

/// Runs settled nodes for `duration`, with the groups distributed over the regions.
pub fn steady(
    simulation: &mut Simulation,
    regions: usize,
    groups: u64,
    duration: Duration,
) -> Steady {
    run_groups(simulation, regions, groups, SECOND * 10, |_| {});
    let sent: Vec<u64> = simulation
        .nodes
        .iter()
        .map(|node| node.sent_bytes)
        .collect();
    let (reads, rows) = (simulation.store.reads, simulation.store.rows_read);
    let (mut ages, mut attested) = (Vec::new(), 0_u64);
    let (mut fresh, mut seen) = (0_u32, 0_u32);
    run_groups(simulation, regions, groups, duration, |simulation| {
        for node in 0..simulation.nodes.len() {
            seen += 1;
            fresh += u32::from(simulation.is_fresh(node));
            let known = simulation.nodes[node].membership.facts(simulation.now);
            for known in known.filter(|it| matches!(it.fact.key(), FactKey::Attested(_))) {
                ages.push(known.age);
                attested += u64::from(known.age < SECOND * 2);
            }
        }
    });
    let grown = simulation.nodes.iter().zip(&sent);
    let bytes: Vec<f64> = grown
        .map(|(node, before)| rate(node.sent_bytes - before, duration))
        .collect();
    let in_region = groups / u64::try_from(regions).expect("few");
    let expected = u64::from(seen) * in_region;
    let bytes_count = as_float(bytes.len() as u64);
    Steady {
        bytes: bytes.iter().sum::<f64>() / bytes_count,
        bytes_max: bytes.iter().copied().fold(0.0, f64::max),
        fresh: f64::from(fresh) / f64::from(seen),
        ages: Quantiles::of(if ages.is_empty() {
            vec![SECOND * 99]
        } else {
            ages
        }),
        attested: as_float(attested) / as_float(expected.max(1)),
        reads: rate(simulation.store.reads - reads, duration),
        rows: rate(simulation.store.rows_read - rows, duration),
    }
}

/// Lets the watchers of each group attest it once a second, and calls `sample` once a second.
fn run_groups(
    simulation: &mut Simulation,
    regions: usize,
    groups: u64,
    duration: Duration,
    mut sample: impl FnMut(&Simulation),
) {
    let end: Moment = simulation.now + duration;
    let mut step = 0;
    while simulation.now < end {
        simulation.run(STEP);
        for group in 0..groups {
            // The watchers of a group are not synchronised.
            for watcher in 0..WATCHERS {
                if (group + watcher * 7 + group / 10 * watcher) % 10 == step % 10 {
                    attest(simulation, regions, group, watcher);
                }
            }
        }
        if step % 10 == 9 {
            sample(simulation);
        }
        step += 1;
    }
}

fn attest(simulation: &mut Simulation, regions: usize, group: u64, watcher: u64) {
    let in_region = simulation.nodes.len() / regions;
    let region = usize::try_from(group).unwrap() % regions;
    let index = usize::try_from(group * 7 + watcher * 3).unwrap() % in_region;
    let fact = Fact::Attested {
        group: GroupId((group + 1).wrapping_mul(0x9E37_79B9_7F4A_7C15)),
        epoch: Epoch(3),
        health: Health::Warm,
    };
    let age = Duration::ZERO;
    let event = MembershipEvent::LocalFacts(vec![AgedFact { fact, age }]);
    simulation.event(index * regions + region, event);
}

/// Makes the store unavailable and waits until no node relies on its confirmations any more.
pub fn store_down(simulation: &mut Simulation) {
    simulation.store.mode = Mode::Down;
    simulation.run(SECOND * 10);
}

/// Returns the number of events per second.
fn rate(count: u64, duration: Duration) -> f64 {
    as_float(count) / duration.as_secs_f64()
}

fn as_float(count: u64) -> f64 {
    f64::from(u32::try_from(count).expect("fits"))
}
