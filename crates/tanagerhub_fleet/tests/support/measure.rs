//! Measurements of downtime and stranded VMs: fault scenarios, a naive baseline policy and the
//! theoretical lower bound.
#![expect(dead_code, reason = "each target uses a part of the shared measures")]

use std::collections::BTreeSet;
use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tanagerhub_catalogue::{Catalogue, GroupId, Vm, VmId};
use tanagerhub_fleet::FleetSettings;

use crate::simulation::{Simulation, VmCondition, domains, is_serving, millis, model_catalogue};

pub const LOAD_TIME: Duration = Duration::from_secs(90);
/// How long an engine takes to restart, without loading weights.
pub const RESTART_TIME: Duration = Duration::from_secs(10);
/// How long the platform takes to replace a dead VM.
pub const REPLACEMENT_TIME: Duration = Duration::from_hours(1);
/// How long a failure goes undetected at most: the age limit of attestations.
const DETECTION_TIME: Duration = Duration::from_secs(2);

/// The size of a fleet: its entries as `(name, span, replicas)`, and its domains.
#[derive(Debug, Clone, Copy)]
pub struct Size {
    pub entries: &'static [(&'static str, u16, u32)],
    pub domains: usize,
    pub vms_each: usize,
    pub loads_max: usize,
}

/// 60 replicas on 200 of 224 VMs.
pub const FLEET_224_VMS: Size = Size {
    entries: &[("large", 4, 40), ("small", 2, 20)],
    domains: 28,
    vms_each: 8,
    loads_max: 64,
};

/// 1,200 replicas on 9,800 of 10,000 VMs.
pub const FLEET_10K_VMS: Size = Size {
    entries: &[("large", 16, 400), ("medium", 8, 300), ("small", 2, 500)],
    domains: 250,
    vms_each: 40,
    loads_max: 2_000,
};

impl Size {
    pub fn vms(&self) -> Vec<Vm> {
        domains(self.domains, self.vms_each)
    }

    pub fn replicas(&self) -> usize {
        self.entries
            .iter()
            .map(|(_, _, count)| *count as usize)
            .sum()
    }

    pub fn catalogue(&self) -> Catalogue {
        let list: Vec<_> = self
            .entries
            .iter()
            .map(|(name, span, count)| (*name, *span, *count / 2, *count))
            .collect();
        model_catalogue(&list)
    }

    /// Returns the number of VMs that no replica needs.
    pub fn idle(&self) -> u64 {
        let needed: u64 = self
            .entries
            .iter()
            .map(|(_, span, count)| u64::from(*span) * u64::from(*count))
            .sum();
        (self.domains * self.vms_each) as u64 - needed
    }

    /// Returns a simulation in which every replica serves.
    pub fn formed_simulation(&self) -> Simulation {
        self.formed_simulation_with(FleetSettings::default().standbys)
    }

    /// Like [`Self::formed_simulation`], with `standbys` standby groups per hundred replicas.
    pub fn formed_simulation_with(&self, standbys: u32) -> Simulation {
        let settings = FleetSettings::default()
            .load_time(LOAD_TIME)
            .loads_max(self.loads_max)
            .standbys(standbys);
        let mut simulation = Simulation::with_settings(1, self.vms(), self.catalogue(), &settings);
        simulation.checking = false;
        simulation.tick = Duration::from_millis(500);
        let count = self.replicas();
        simulation.run_until(Duration::from_hours(2), |simulation| {
            simulation.serving(0) == count
        });
        simulation
    }
}

/// A fault of one VM.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum VmFault {
    /// The VM dies; the platform replaces it after [`REPLACEMENT_TIME`].
    Death,
    /// The VM's engine restarts.
    Restart,
    /// The VM pauses for this long.
    Pause(Duration),
}

impl VmFault {
    pub fn outage(self) -> Duration {
        match self {
            Self::Death => REPLACEMENT_TIME,
            Self::Restart => RESTART_TIME,
            Self::Pause(duration) => duration,
        }
    }

    const fn condition(self) -> VmCondition {
        match self {
            Self::Death => VmCondition::Dead,
            Self::Restart => VmCondition::Refusing,
            Self::Pause(_) => VmCondition::Paused,
        }
    }

    /// Returns the downtime of a replica under an optimal policy that acts as soon as attestations
    /// lapse.
    pub fn floor(self) -> Duration {
        match self {
            Self::Death => DETECTION_TIME + LOAD_TIME,
            Self::Restart => RESTART_TIME + LOAD_TIME,
            Self::Pause(duration) => duration + Duration::from_secs(1),
        }
    }
}

/// Returns faults at random times and VMs as `(second, index of the VM, fault)`, in order of time.
pub fn random_faults(
    size: &Size,
    duration: Duration,
    deaths: usize,
    restarts: usize,
    seed: u64,
) -> Vec<(u64, usize, VmFault)> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let count = size.domains * size.vms_each;
    let mut faults: Vec<_> = (0..deaths + restarts)
        .map(|turn| {
            let fault = if turn < deaths {
                VmFault::Death
            } else {
                VmFault::Restart
            };
            let second = rng.random_range(0..duration.as_secs().saturating_sub(240));
            (second, rng.random_range(0..count), fault)
        })
        .collect();
    faults.sort_unstable_by_key(|(second, index, _)| (*second, *index));
    faults
}

/// The VM-seconds that a policy left idle, beyond the VMs that no replica needs.
#[derive(Debug, Clone, Copy)]
pub struct Stranded {
    pub excess: u64,
    /// The VM-seconds that an optimal policy would leave idle for the faults that hit a group.
    pub floor: u64,
}

/// Simulates faults under the decisions of `Fleet`.
pub fn run_fleet(size: &Size, duration: Duration, faults: &[(u64, usize, VmFault)]) -> Stranded {
    let mut simulation = size.formed_simulation();
    let (start, before) = (simulation.now, simulation.stranded);
    let mut floor = 0;
    let mut returns: BTreeSet<(u64, usize)> = BTreeSet::new();
    let mut remaining = faults.iter().peekable();
    for second in 0..duration.as_secs() {
        while let Some((_, index, fault)) = remaining.next_if(|(at, _, _)| *at <= second) {
            let vm = simulation.vms[*index].id();
            if simulation.engines[&vm].condition != VmCondition::Alive {
                continue;
            }
            let group_id = simulation.table.vm(vm).group;
            let groups = simulation.table.groups();
            let row = group_id.and_then(|id| groups.get(&id));
            let span = row.map(|row| row.members.len() as u64);
            floor += span.unwrap_or(0) * fault.floor().as_secs();
            simulation.set_condition(vm, fault.condition());
            returns.insert((second + fault.outage().as_secs(), *index));
        }
        while returns.first().is_some_and(|(at, _)| *at <= second) {
            let (_, index) = returns.pop_first().expect("no VM is due to return");
            let vm = simulation.vms[index].id();
            simulation.set_condition(vm, VmCondition::Alive);
        }
        simulation.run(Duration::from_secs(1));
    }
    let total = simulation.stranded - before;
    let idle = size.idle() * millis(simulation.now.since(start));
    Stranded {
        excess: total.saturating_sub(idle) / 1_000,
        floor,
    }
}

/// Simulates faults under the naive baseline: first-fit placement, and a group is dissolved at the
/// first failed probe.
pub fn run_naive(size: &Size, duration: Duration, faults: &[(u64, usize, VmFault)]) -> Stranded {
    let mut policy = NaivePolicy::new(size);
    let mut floor = 0;
    let mut remaining = faults.iter().peekable();
    let mut excess = 0;
    for second in 0..duration.as_secs() {
        policy.now = second;
        while let Some((_, index, fault)) = remaining.next_if(|(at, _, _)| *at <= second) {
            floor += policy.apply_fault(*index, *fault);
        }
        policy.form();
        excess += policy.stranded().saturating_sub(size.idle());
    }
    Stranded { excess, floor }
}

#[derive(Debug)]
struct NaiveGroup {
    entry: usize,
    members: Vec<usize>,
    serves_at: u64,
    /// The second at which a failed probe dissolves the group.
    ends_at: Option<u64>,
    /// The second at which a member failed.
    broken_at: Option<u64>,
}

#[derive(Debug)]
struct NaivePolicy {
    now: u64,
    vms_each: usize,
    /// The second from which each VM is available again.
    available_at: Vec<u64>,
    allocated: Vec<bool>,
    groups: Vec<NaiveGroup>,
    entries: Vec<(usize, usize)>,
    loads: Vec<u64>,
}

impl NaivePolicy {
    fn new(size: &Size) -> Self {
        let count = size.domains * size.vms_each;
        let mut policy = Self {
            now: 0,
            vms_each: size.vms_each,
            available_at: vec![0; count],
            allocated: vec![false; count],
            groups: Vec::new(),
            entries: size
                .entries
                .iter()
                .map(|(_, span, count)| (usize::from(*span), *count as usize))
                .collect(),
            loads: vec![0; size.loads_max],
        };
        policy.form();
        for group in &mut policy.groups {
            group.serves_at = 0;
        }
        policy.loads.fill(0);
        policy
    }

    fn apply_fault(&mut self, index: usize, fault: VmFault) -> u64 {
        if self.available_at[index] > self.now {
            return 0;
        }
        self.available_at[index] = self.now + fault.outage().as_secs();
        let now = self.now;
        let found = self
            .groups
            .iter_mut()
            .find(|group| group.members.contains(&index));
        let Some(group) = found else {
            return 0;
        };
        group.ends_at = group.ends_at.or(Some(now + DETECTION_TIME.as_secs()));
        group.broken_at = group.broken_at.or(Some(now));
        group.members.len() as u64 * fault.floor().as_secs()
    }

    fn form(&mut self) {
        let now = self.now;
        let ended = |group: &NaiveGroup| group.ends_at.is_some_and(|at| at <= now);
        for group in self.groups.iter().filter(|group| ended(group)) {
            for index in &group.members {
                self.allocated[*index] = false;
            }
        }
        self.groups.retain(|group| !ended(group));
        for entry in 0..self.entries.len() {
            let (span, count) = self.entries[entry];
            let mut held = self
                .groups
                .iter()
                .filter(|group| group.entry == entry)
                .count();
            while held < count && self.form_one(entry, span) {
                held += 1;
            }
        }
    }

    fn form_one(&mut self, entry: usize, span: usize) -> bool {
        let free = |index: &usize| !self.allocated[*index] && self.available_at[*index] <= self.now;
        let domains = (0..self.allocated.len()).step_by(self.vms_each);
        let found = domains
            .map(|first| {
                (first..first + self.vms_each)
                    .filter(free)
                    .take(span)
                    .collect()
            })
            .find(|indexes: &Vec<usize>| indexes.len() == span);
        let Some(members) = found else {
            return false;
        };
        let mut serves_at = self.now;
        for index in &members {
            self.allocated[*index] = true;
            let slot = self.loads.iter_mut().min().expect("the load limit is zero");
            *slot = (*slot).max(self.now) + LOAD_TIME.as_secs();
            serves_at = serves_at.max(*slot);
        }
        self.groups.push(NaiveGroup {
            entry,
            members,
            serves_at,
            ends_at: None,
            broken_at: None,
        });
        true
    }

    fn stranded(&self) -> u64 {
        let serves = |group: &&NaiveGroup| group.serves_at <= self.now && group.broken_at.is_none();
        let serving: usize = self
            .groups
            .iter()
            .filter(serves)
            .map(|group| group.members.len())
            .sum();
        (self.allocated.len() - serving) as u64
    }
}

/// Returns how long an entry has one replica too few after a fault of a group's member.
pub fn downtime(size: &Size, fault: VmFault) -> Duration {
    downtime_with(size, fault, 0)
}

/// Like [`downtime`], with `standbys` standby groups per hundred replicas.
pub fn downtime_with(size: &Size, fault: VmFault, standbys: u32) -> Duration {
    let mut simulation = size.formed_simulation_with(standbys);
    simulation.run(Duration::from_mins(3));
    let vm = simulation.first_group().1.members[0];
    measure_recovery(&mut simulation, size, &[vm], fault)
}

/// Returns how long it takes until all replicas serve after the failure of an entire domain.
pub fn domain_downtime(size: &Size) -> Duration {
    domain_downtime_with(size, 0)
}

/// Like [`domain_downtime`], with `standbys` standby groups per hundred replicas.
pub fn domain_downtime_with(size: &Size, standbys: u32) -> Duration {
    let mut simulation = size.formed_simulation_with(standbys);
    simulation.run(Duration::from_mins(3));
    let domain = simulation.first_group().1.domain;
    let domain_vms: Vec<VmId> = simulation
        .vms
        .iter()
        .filter(|vm| vm.domain_id() == domain)
        .map(Vm::id)
        .collect();
    measure_recovery(&mut simulation, size, &domain_vms, VmFault::Death)
}

fn measure_recovery(
    simulation: &mut Simulation,
    size: &Size,
    vms: &[VmId],
    fault: VmFault,
) -> Duration {
    let count = size.replicas();
    let start = simulation.now;
    for vm in vms {
        simulation.set_condition(*vm, fault.condition());
    }
    let mut restored = false;
    simulation.run(Duration::from_secs(3));
    while serving_replicas(simulation) < count {
        if !restored && simulation.now.since(start) >= fault.outage() {
            restored = true;
            for vm in vms {
                simulation.set_condition(*vm, VmCondition::Alive);
            }
        }
        simulation.step();
        assert!(
            simulation.now.since(start) < Duration::from_hours(1),
            "the replica was not repaired within an hour"
        );
    }
    simulation.now.since(start)
}

fn serving_replicas(simulation: &Simulation) -> usize {
    simulation.views(0).filter(is_serving).count()
}

/// Returns the id of some group.
pub fn any_group(simulation: &Simulation) -> GroupId {
    simulation.first_group().0
}
