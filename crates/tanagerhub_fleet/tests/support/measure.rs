//! Downtime and stranded VMs: scenarios, the naive baseline and the paper floor.
#![expect(dead_code, reason = "each target uses a part of the shared measures")]

use std::collections::BTreeSet;
use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tanagerhub_catalogue::{Catalogue, GroupId, Vm, VmId};
use tanagerhub_fleet::FleetSettings;

use crate::world::{Up, World, domains, is_serving, millis, models};

pub const LOAD: Duration = Duration::from_secs(90);
/// How long an engine takes to restart, without its loads.
pub const RESTART: Duration = Duration::from_secs(10);
/// How long until a dead VM is replaced by the platform.
pub const REPLACEMENT: Duration = Duration::from_hours(1);
/// The age limit of attestations.
const DETECT: Duration = Duration::from_secs(2);

/// A fleet of some size: entries as `(name, span, replicas)`, and domains.
#[derive(Debug, Clone, Copy)]
pub struct Size {
    pub entries: &'static [(&'static str, u16, u32)],
    pub domains: usize,
    pub vms_each: usize,
    pub loads_max: usize,
}

/// 60 replicas on 200 of 224 VMs.
pub const TODAY: Size = Size {
    entries: &[("large", 4, 40), ("small", 2, 20)],
    domains: 28,
    vms_each: 8,
    loads_max: 64,
};

/// 1,200 replicas on 9,800 of 10,000 VMs.
pub const LETTER: Size = Size {
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
        models(&list)
    }

    /// VMs that no replica needs.
    pub fn idle(&self) -> u64 {
        let needed: u64 = self
            .entries
            .iter()
            .map(|(_, span, count)| u64::from(*span) * u64::from(*count))
            .sum();
        (self.domains * self.vms_each) as u64 - needed
    }

    /// A bench on which every replica serves.
    pub fn formed(&self) -> World {
        self.formed_with(FleetSettings::default().standbys)
    }

    /// The same with so many standby groups for each hundred replicas.
    pub fn formed_with(&self, standbys: u32) -> World {
        let settings = FleetSettings::default()
            .load_time(LOAD)
            .loads_max(self.loads_max)
            .standbys(standbys);
        let mut world = World::with(1, self.vms(), self.catalogue(), &settings);
        world.checking = false;
        world.tick = Duration::from_millis(500);
        let count = self.replicas();
        world.run_until(Duration::from_hours(2), |world| world.serving(0) == count);
        world
    }
}

/// What happens to one VM.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Blow {
    /// It dies; the platform replaces it after [`REPLACEMENT`].
    Death,
    /// Its engine restarts.
    Restart,
    /// It pauses.
    Pause(Duration),
}

impl Blow {
    pub fn away(self) -> Duration {
        match self {
            Self::Death => REPLACEMENT,
            Self::Restart => RESTART,
            Self::Pause(span) => span,
        }
    }

    const fn up(self) -> Up {
        match self {
            Self::Death => Up::Dead,
            Self::Restart => Up::Refusing,
            Self::Pause(_) => Up::Paused,
        }
    }

    /// The downtime of a replica under an oracle that acts when attestations lapse.
    pub fn floor(self) -> Duration {
        match self {
            Self::Death => DETECT + LOAD,
            Self::Restart => RESTART + LOAD,
            Self::Pause(span) => span + Duration::from_secs(1),
        }
    }
}

/// Blows at random times and VMs: `(second, place of the VM, blow)`, in order of time.
pub fn day(
    size: &Size,
    span: Duration,
    deaths: usize,
    restarts: usize,
    seed: u64,
) -> Vec<(u64, usize, Blow)> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let count = size.domains * size.vms_each;
    let mut blows: Vec<_> = (0..deaths + restarts)
        .map(|turn| {
            let blow = if turn < deaths {
                Blow::Death
            } else {
                Blow::Restart
            };
            let second = rng.random_range(0..span.as_secs().saturating_sub(240));
            (second, rng.random_range(0..count), blow)
        })
        .collect();
    blows.sort_unstable_by_key(|(second, place, _)| (*second, *place));
    blows
}

/// What a policy left idle, in VM-seconds above what any policy must.
#[derive(Debug, Clone, Copy)]
pub struct Stranded {
    pub excess: u64,
    /// What an oracle would leave idle for the blows that hit a group.
    pub floor: u64,
}

/// Runs blows against the real decisions.
pub fn run_fleet(size: &Size, span: Duration, blows: &[(u64, usize, Blow)]) -> Stranded {
    let mut world = size.formed();
    let (start, before) = (world.now, world.stranded);
    let mut floor = 0;
    let mut returns: BTreeSet<(u64, usize)> = BTreeSet::new();
    let mut left = blows.iter().peekable();
    for second in 0..span.as_secs() {
        while let Some((_, place, blow)) = left.next_if(|(at, _, _)| *at <= second) {
            let vm = world.vms[*place].id();
            if world.engines[&vm].up != Up::Alive {
                continue;
            }
            let home = world.table.vm(vm).group;
            let groups = world.table.groups();
            let row = home.and_then(|id| groups.get(&id));
            let span = row.map(|row| row.members.len() as u64);
            floor += span.unwrap_or(0) * blow.floor().as_secs();
            world.set_up(vm, blow.up());
            returns.insert((second + blow.away().as_secs(), *place));
        }
        while returns.first().is_some_and(|(at, _)| *at <= second) {
            let (_, place) = returns.pop_first().expect("a return");
            let vm = world.vms[place].id();
            world.set_up(vm, Up::Alive);
        }
        world.run(Duration::from_secs(1));
    }
    let total = world.stranded - before;
    let idle = size.idle() * millis(world.now.since(start));
    Stranded {
        excess: total.saturating_sub(idle) / 1_000,
        floor,
    }
}

/// The naive baseline: first fit, and a group is given up at the first failed probe.
pub fn run_naive(size: &Size, span: Duration, blows: &[(u64, usize, Blow)]) -> Stranded {
    let mut naive = Naive::new(size);
    let mut floor = 0;
    let mut left = blows.iter().peekable();
    let mut excess = 0;
    for second in 0..span.as_secs() {
        naive.now = second;
        while let Some((_, place, blow)) = left.next_if(|(at, _, _)| *at <= second) {
            floor += naive.hit(*place, *blow);
        }
        naive.form();
        excess += naive.stranded().saturating_sub(size.idle());
    }
    Stranded { excess, floor }
}

#[derive(Debug)]
struct NaiveGroup {
    entry: usize,
    members: Vec<usize>,
    serves: u64,
    /// When a failed probe ends it.
    ends: Option<u64>,
    /// When a member went.
    broken: Option<u64>,
}

#[derive(Debug)]
struct Naive {
    now: u64,
    vms_each: usize,
    /// When each VM is there again.
    back: Vec<u64>,
    taken: Vec<bool>,
    groups: Vec<NaiveGroup>,
    entries: Vec<(usize, usize)>,
    loads: Vec<u64>,
}

impl Naive {
    fn new(size: &Size) -> Self {
        let count = size.domains * size.vms_each;
        let mut naive = Self {
            now: 0,
            vms_each: size.vms_each,
            back: vec![0; count],
            taken: vec![false; count],
            groups: Vec::new(),
            entries: size
                .entries
                .iter()
                .map(|(_, span, count)| (usize::from(*span), *count as usize))
                .collect(),
            loads: vec![0; size.loads_max],
        };
        naive.form();
        for group in &mut naive.groups {
            group.serves = 0;
        }
        naive.loads.fill(0);
        naive
    }

    fn hit(&mut self, place: usize, blow: Blow) -> u64 {
        if self.back[place] > self.now {
            return 0;
        }
        self.back[place] = self.now + blow.away().as_secs();
        let now = self.now;
        let home = self
            .groups
            .iter_mut()
            .find(|group| group.members.contains(&place));
        let Some(group) = home else {
            return 0;
        };
        group.ends = group.ends.or(Some(now + DETECT.as_secs()));
        group.broken = group.broken.or(Some(now));
        group.members.len() as u64 * blow.floor().as_secs()
    }

    fn form(&mut self) {
        let now = self.now;
        let ended = |group: &NaiveGroup| group.ends.is_some_and(|at| at <= now);
        for group in self.groups.iter().filter(|group| ended(group)) {
            for place in &group.members {
                self.taken[*place] = false;
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
        let free = |place: &usize| !self.taken[*place] && self.back[*place] <= self.now;
        let domains = (0..self.taken.len()).step_by(self.vms_each);
        let found = domains
            .map(|first| {
                (first..first + self.vms_each)
                    .filter(free)
                    .take(span)
                    .collect()
            })
            .find(|places: &Vec<usize>| places.len() == span);
        let Some(members) = found else {
            return false;
        };
        let mut serves = self.now;
        for place in &members {
            self.taken[*place] = true;
            let slot = self.loads.iter_mut().min().expect("a load slot");
            *slot = (*slot).max(self.now) + LOAD.as_secs();
            serves = serves.max(*slot);
        }
        self.groups.push(NaiveGroup {
            entry,
            members,
            serves,
            ends: None,
            broken: None,
        });
        true
    }

    fn stranded(&self) -> u64 {
        let serves = |group: &&NaiveGroup| group.serves <= self.now && group.broken.is_none();
        let serving: usize = self
            .groups
            .iter()
            .filter(serves)
            .map(|group| group.members.len())
            .sum();
        (self.taken.len() - serving) as u64
    }
}

/// How long a group's entry has one replica too few after a blow to one of its members.
pub fn downtime(size: &Size, blow: Blow) -> Duration {
    downtime_with(size, blow, 0)
}

/// The same with so many standby groups for each hundred replicas.
pub fn downtime_with(size: &Size, blow: Blow, standbys: u32) -> Duration {
    let mut world = size.formed_with(standbys);
    world.run(Duration::from_mins(3));
    let vm = world.first().1.members[0];
    down(&mut world, size, &[vm], blow)
}

/// How long until all replicas serve after a whole domain goes dark.
pub fn domain_downtime(size: &Size) -> Duration {
    domain_downtime_with(size, 0)
}

/// The same with so many standby groups for each hundred replicas.
pub fn domain_downtime_with(size: &Size, standbys: u32) -> Duration {
    let mut world = size.formed_with(standbys);
    world.run(Duration::from_mins(3));
    let domain = world.first().1.domain;
    let dark: Vec<VmId> = world
        .vms
        .iter()
        .filter(|vm| vm.domain_id() == domain)
        .map(Vm::id)
        .collect();
    down(&mut world, size, &dark, Blow::Death)
}

fn down(world: &mut World, size: &Size, vms: &[VmId], blow: Blow) -> Duration {
    let count = size.replicas();
    let start = world.now;
    for vm in vms {
        world.set_up(*vm, blow.up());
    }
    let mut back = false;
    world.run(Duration::from_secs(3));
    while whole(world) < count {
        if !back && world.now.since(start) >= blow.away() {
            back = true;
            for vm in vms {
                world.set_up(*vm, Up::Alive);
            }
        }
        world.step();
        assert!(
            world.now.since(start) < Duration::from_hours(1),
            "never repaired"
        );
    }
    world.now.since(start)
}

fn whole(world: &World) -> usize {
    world.views(0).filter(is_serving).count()
}

/// Any group's id, so that a caller can look it up.
pub fn any_group(world: &World) -> GroupId {
    world.first().0
}
