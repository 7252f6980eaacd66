//! Measurements of downtime and stranded VMs: fault scenarios, a baseline policy and the
//! theoretical lower bound.
#![expect(dead_code, reason = "each target uses a part of the shared measures")]

pub mod naive;

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
