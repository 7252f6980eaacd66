//! One engine's state.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use tanagerhub_catalogue::{BootId, Epoch, Fencing, GroupId, Rank, VmId};
use tanagerhub_clock::Moment;
use tanagerhub_fleet::{EngineState, MemberReport, Order, OrderKind, OrderResponse, Temperature};

use super::fabric::{Target, is_warm};
use crate::{Absence, Fact, Started, Work};

/// How an engine behaves.
#[derive(Debug, Clone)]
pub struct EngineSettings {
    /// The VM's name.
    pub name: String,
    /// Whether orders with an old epoch are refused.
    pub fencing: Fencing,
    /// The time that a token takes.
    pub token: Duration,
    /// Requests that it bears while cold.
    pub cold_limit: u32,
    /// The time that it stays cold after loading.
    pub warm_up: Duration,
    /// How late the reported load is.
    pub report_lag: Duration,
    /// The time that it stays dead after a crash.
    pub reboot: Duration,
}

impl Default for EngineSettings {
    fn default() -> Self {
        Self {
            name: "vm".to_owned(),
            fencing: Fencing::Checked,
            token: Duration::from_millis(2),
            cold_limit: 2,
            warm_up: Duration::from_millis(500),
            report_lag: Duration::from_millis(500),
            reboot: Duration::from_millis(500),
        }
    }
}

/// Whether an engine's process runs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Power {
    Up,
    Paused,
    Down,
}

/// What an order led to.
#[derive(Debug)]
pub(super) struct Obeyed {
    pub(super) answer: OrderResponse,
    pub(super) facts: Vec<Fact>,
    /// The number of a load that begins.
    pub(super) load: Option<u64>,
    pub(super) release: bool,
}

#[derive(Debug)]
pub(super) struct Engine {
    settings: EngineSettings,
    boot: BootId,
    power: Power,
    place: Option<Place>,
    highest: Epoch,
    running: u32,
    reported: (Moment, u32),
    slowness: f64,
    leaving: bool,
    loads: u64,
}

/// The engine's place in a group.
#[derive(Debug)]
struct Place {
    target: Target,
    rank: Rank,
    members: Vec<SocketAddr>,
    load: u64,
    ready: Option<Moment>,
    released: bool,
}

impl Engine {
    pub(super) fn new(settings: EngineSettings) -> Self {
        Self {
            settings,
            boot: BootId(rand::random()),
            power: Power::Up,
            place: None,
            highest: Epoch::default(),
            running: 0,
            reported: (Moment::ZERO, 0),
            slowness: 1.0,
            leaving: false,
            loads: 0,
        }
    }

    pub(super) fn vm(&self) -> VmId {
        VmId::of(&self.settings.name)
    }

    pub(super) const fn boot(&self) -> BootId {
        self.boot
    }

    pub(super) const fn power(&self) -> Power {
        self.power
    }

    pub(super) const fn settings(&self) -> &EngineSettings {
        &self.settings
    }

    /// Makes the engine slower or faster than its settings say.
    pub(super) const fn set_slowness(&mut self, factor: f64) {
        self.slowness = factor;
    }

    pub(super) const fn set_leaving(&mut self, leaving: bool) {
        self.leaving = leaving;
    }

    /// Begins another cold start without losing the weights.
    pub(super) fn turn_cold(&mut self, now: Moment) {
        if let Some(place) = &mut self.place {
            place.ready = place.ready.map(|_| now);
        }
    }

    /// Kills, pauses or starts the engine; a kill loses all that it held.
    pub(super) fn set_power(&mut self, power: Power) -> Vec<Fact> {
        if self.power == power {
            return Vec::new();
        }
        let vm = self.vm();
        let mut facts = Vec::new();
        match power {
            Power::Up => facts.push(Fact::Present { vm }),
            Power::Paused => facts.push(Fact::Missing {
                vm,
                absence: Absence::Paused,
            }),
            Power::Down => {
                facts.push(Fact::Missing {
                    vm,
                    absence: Absence::Dead,
                });
                facts.extend(self.part());
                self.boot = BootId(rand::random());
                self.highest = Epoch::default();
                self.running = 0;
                self.leaving = false;
            }
        }
        self.power = power;
        facts
    }

    pub(super) fn report(&mut self, now: Moment) -> MemberReport {
        let (counted, _) = self.reported;
        if now.since(counted) >= self.settings.report_lag {
            self.reported = (now, self.running);
        }
        let place = self.place.as_ref();
        MemberReport {
            vm: self.vm(),
            boot: self.boot,
            group: place
                .filter(|place| !place.released)
                .map(|place| place.target.group),
            epoch: self.highest,
            rank: place.map(|place| place.rank).unwrap_or_default(),
            state: self.state(),
            temperature: self.temperature(now),
            leaving: self.leaving,
            running: self.reported.1,
            waiting: 0,
        }
    }

    pub(super) fn obey(&mut self, order: &Order, vms: &BTreeMap<SocketAddr, VmId>) -> Obeyed {
        let mut obeyed = Obeyed {
            answer: OrderResponse::Accepted,
            facts: Vec::new(),
            load: None,
            release: false,
        };
        if self.settings.fencing == Fencing::Checked && order.epoch < self.highest {
            obeyed.answer = OrderResponse::Stale {
                epoch: self.highest,
            };
            return obeyed;
        }
        self.highest = self.highest.max(order.epoch);
        let target = Target {
            group: order.group,
            epoch: order.epoch,
        };
        match &order.kind {
            OrderKind::Join { rank, members, .. } => {
                self.join(target, *rank, members, vms, &mut obeyed);
            }
            OrderKind::Release => {
                if let Some(place) = &mut self.place
                    && place.target.group == order.group
                {
                    place.released = true;
                    obeyed.release = true;
                    obeyed.facts.push(Fact::Parted {
                        vm: self.vm(),
                        group: order.group,
                    });
                }
            }
        }
        obeyed
    }

    fn join(
        &mut self,
        target: Target,
        rank: Rank,
        members: &[SocketAddr],
        vms: &BTreeMap<SocketAddr, VmId>,
        obeyed: &mut Obeyed,
    ) {
        let obeyed_before = self.place.as_ref().is_some_and(|place| {
            place.target == target
                && place.rank == rank
                && place.members == members
                && !place.released
        });
        if obeyed_before {
            return;
        }
        obeyed.facts.extend(self.part());
        self.loads += 1;
        self.place = Some(Place {
            target,
            rank,
            members: members.to_vec(),
            load: self.loads,
            ready: None,
            released: false,
        });
        obeyed.load = Some(self.loads);
        obeyed.facts.push(Fact::Joined {
            vm: self.vm(),
            boot: self.boot,
            group: target.group,
            epoch: target.epoch,
            rank,
            members: members
                .iter()
                .filter_map(|member| vms.get(member).copied())
                .collect(),
        });
    }

    /// Leaves the group at once; requests that run there break.
    fn part(&mut self) -> Option<Fact> {
        let place = self.place.take()?;
        (!place.released).then(|| Fact::Parted {
            vm: self.vm(),
            group: place.target.group,
        })
    }

    /// Takes in the weights, unless the load is an old one.
    pub(super) fn loaded(&mut self, load: u64, now: Moment) {
        if let Some(place) = &mut self.place
            && place.load == load
        {
            place.ready = Some(now);
        }
    }

    /// Whether it is rank 0 of this group, with requests in flight.
    pub(super) fn runs(&self, group: GroupId) -> bool {
        let first = self
            .place
            .as_ref()
            .is_some_and(|place| place.target.group == group && place.rank == Rank(0));
        first && self.running > 0
    }

    pub(super) fn drop_released(&mut self, group: GroupId) {
        let released = self
            .place
            .as_ref()
            .is_some_and(|place| place.released && place.target.group == group);
        if released {
            self.place = None;
        }
    }

    /// Takes a request, unless the engine is not ready or serves another group.
    pub(super) fn begin(
        &mut self,
        target: Option<Target>,
        work: Work,
        now: Moment,
    ) -> Option<Started> {
        let place = self.place.as_ref()?;
        let meant = target.unwrap_or(place.target);
        let serves = place.target == meant
            && place.rank == Rank(0)
            && place.ready.is_some()
            && !place.released;
        if !serves {
            return None;
        }
        self.running += 1;
        Some(Started {
            work,
            vm: self.vm(),
            group: meant.group,
            epoch: meant.epoch,
            boot: self.boot,
            cold: self.temperature(now) == Temperature::Cold,
            running: self.running,
            cold_limit: self.settings.cold_limit,
        })
    }

    /// Notes that a request of this start has ended.
    pub(super) fn ended(&mut self, boot: BootId) {
        if self.boot == boot {
            self.running = self.running.saturating_sub(1);
        }
    }

    /// Whether it takes requests as rank 0 of a group.
    pub(super) fn serves(&self) -> bool {
        let place = self.place.as_ref();
        place.is_some_and(|place| place.rank == Rank(0) && place.ready.is_some() && !place.released)
    }

    /// The members of its group, by rank.
    pub(super) fn members(&self) -> &[SocketAddr] {
        self.place
            .as_ref()
            .map(|place| place.members.as_slice())
            .unwrap_or_default()
    }

    /// The members of the group, if this engine serves it.
    pub(super) fn members_of(&self, target: Target) -> Option<&[SocketAddr]> {
        let place = self.place.as_ref()?;
        (place.target == target).then_some(place.members.as_slice())
    }

    pub(super) fn is_ready_for(&self, target: Target) -> bool {
        self.place
            .as_ref()
            .is_some_and(|place| place.target == target && place.ready.is_some())
    }

    pub(super) fn step_time(&self) -> Duration {
        self.settings.token.mul_f64(self.slowness)
    }

    const fn state(&self) -> EngineState {
        match &self.place {
            None => EngineState::Empty,
            Some(Place { ready: None, .. }) => EngineState::Loading,
            Some(_) => EngineState::Ready,
        }
    }

    fn temperature(&self, now: Moment) -> Temperature {
        let ready = self.place.as_ref().and_then(|place| place.ready);
        match ready {
            Some(ready) if is_warm(ready, self.settings.warm_up, now) => Temperature::Warm,
            _ => Temperature::Cold,
        }
    }
}
