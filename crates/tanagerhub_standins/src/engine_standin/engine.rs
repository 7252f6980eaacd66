//! The state of one engine.

mod orders;

use std::net::SocketAddr;
use std::time::Duration;

use tanagerhub_catalogue::{BootId, Epoch, Fencing, GroupId, Rank, VmId};
use tanagerhub_clock::Moment;
use tanagerhub_fleet::{EngineState, MemberReport, Temperature};

use super::fabric::{Target, is_warm};
use crate::{Event, MissingCause, RequestId, Started};

/// Settings of a stand-in engine.
#[derive(Debug, Clone)]
pub struct EngineSettings {
    /// Name of its VM.
    pub name: String,
    /// Whether it refuses orders whose epoch is older than the highest one received.
    pub fencing: Fencing,
    /// Time to generate one token.
    pub token_time: Duration,
    /// Maximum number of requests in flight while cold; one more crashes it.
    pub cold_limit: u32,
    /// Time for which it stays cold after loading.
    pub warm_up_time: Duration,
    /// Time for which the reported load stays unchanged.
    pub report_lag: Duration,
    /// Time between a crash and the restart.
    pub restart_delay: Duration,
}

impl Default for EngineSettings {
    fn default() -> Self {
        Self {
            name: "vm".to_owned(),
            fencing: Fencing::Checked,
            token_time: Duration::from_millis(2),
            cold_limit: 2,
            warm_up_time: Duration::from_millis(500),
            report_lag: Duration::from_millis(500),
            restart_delay: Duration::from_millis(500),
        }
    }
}

/// State of an engine's process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum ProcessState {
    Up,
    Paused,
    Down,
}

#[derive(Debug)]
pub(super) struct Engine {
    settings: EngineSettings,
    boot: BootId,
    process_state: ProcessState,
    membership: Option<GroupMembership>,
    highest_epoch: Epoch,
    running: u32,
    /// When the reported number of running requests was read, and that number.
    reported_load: (Moment, u32),
    slowdown: f64,
    leaving: bool,
    load_count: u64,
}

/// The engine's membership of a group.
#[derive(Debug)]
struct GroupMembership {
    target: Target,
    rank: Rank,
    members: Vec<SocketAddr>,
    load_number: u64,
    /// Time from which the engine is ready and warms up; `None` while the weights load.
    ready: Option<Moment>,
    released: bool,
}

impl Engine {
    pub(super) fn new(settings: EngineSettings) -> Self {
        Self {
            settings,
            boot: BootId(rand::random()),
            process_state: ProcessState::Up,
            membership: None,
            highest_epoch: Epoch::default(),
            running: 0,
            reported_load: (Moment::ZERO, 0),
            slowdown: 1.0,
            leaving: false,
            load_count: 0,
        }
    }

    pub(super) fn vm(&self) -> VmId {
        VmId::of(&self.settings.name)
    }

    pub(super) const fn boot(&self) -> BootId {
        self.boot
    }

    pub(super) const fn process_state(&self) -> ProcessState {
        self.process_state
    }

    pub(super) const fn settings(&self) -> &EngineSettings {
        &self.settings
    }

    /// Sets the factor by which steps take longer than the settings say.
    pub(super) const fn set_slowdown(&mut self, factor: f64) {
        self.slowdown = factor;
    }

    pub(super) const fn set_leaving(&mut self, leaving: bool) {
        self.leaving = leaving;
    }

    /// Begins another cold start, with the weights kept.
    pub(super) fn enter_cold_start(&mut self, now: Moment) {
        if let Some(membership) = &mut self.membership {
            membership.ready = membership.ready.map(|_| now);
        }
    }

    /// Kills, pauses or starts the process, and returns the events to record; a kill discards all
    /// state.
    pub(super) fn set_process_state(&mut self, process_state: ProcessState) -> Vec<Event> {
        if self.process_state == process_state {
            return Vec::new();
        }
        let vm = self.vm();
        let mut events = Vec::new();
        match process_state {
            ProcessState::Up => events.push(Event::Returned { vm }),
            ProcessState::Paused => events.push(Event::Missing {
                vm,
                cause: MissingCause::Paused,
            }),
            ProcessState::Down => {
                events.push(Event::Missing {
                    vm,
                    cause: MissingCause::Dead,
                });
                events.extend(self.leave_group());
                self.boot = BootId(rand::random());
                self.highest_epoch = Epoch::default();
                self.running = 0;
                self.leaving = false;
            }
        }
        self.process_state = process_state;
        events
    }

    pub(super) fn report(&mut self, now: Moment) -> MemberReport {
        let (reported_at, _) = self.reported_load;
        if now.since(reported_at) >= self.settings.report_lag {
            self.reported_load = (now, self.running);
        }
        let membership = self.membership.as_ref();
        MemberReport {
            vm: self.vm(),
            boot: self.boot,
            group: membership
                .filter(|membership| !membership.released)
                .map(|membership| membership.target.group),
            epoch: self.highest_epoch,
            rank: membership
                .map(|membership| membership.rank)
                .unwrap_or_default(),
            state: self.state(),
            temperature: self.temperature(now),
            leaving: self.leaving,
            running: self.reported_load.1,
            waiting: 0,
        }
    }

    /// Returns whether it is the head of this group and has requests in flight.
    pub(super) fn has_running_requests(&self, group: GroupId) -> bool {
        let is_head = self.membership.as_ref().is_some_and(|membership| {
            membership.target.group == group && membership.rank == Rank(0)
        });
        is_head && self.running > 0
    }

    /// Starts a request; returns `None` when the engine is not ready, not the head, or serves
    /// another group or epoch.
    pub(super) fn begin(
        &mut self,
        target: Option<Target>,
        request_id: RequestId,
        now: Moment,
    ) -> Option<Started> {
        let membership = self.membership.as_ref()?;
        let requested = target.unwrap_or(membership.target);
        let is_serving = membership.target == requested
            && membership.rank == Rank(0)
            && membership.ready.is_some()
            && !membership.released;
        if !is_serving {
            return None;
        }
        self.running += 1;
        Some(Started {
            request_id,
            vm: self.vm(),
            group: requested.group,
            epoch: requested.epoch,
            boot: self.boot,
            cold: self.temperature(now) == Temperature::Cold,
            running: self.running,
            cold_limit: self.settings.cold_limit,
        })
    }

    /// Decrements the count of running requests, if the request began in the current boot.
    pub(super) fn request_ended(&mut self, boot: BootId) {
        if self.boot == boot {
            self.running = self.running.saturating_sub(1);
        }
    }

    /// Returns whether it accepts requests as the head of a group.
    pub(super) fn is_serving(&self) -> bool {
        let membership = self.membership.as_ref();
        membership.is_some_and(|membership| {
            membership.rank == Rank(0) && membership.ready.is_some() && !membership.released
        })
    }

    /// Returns the addresses of the members of its group, by rank.
    pub(super) fn members(&self) -> &[SocketAddr] {
        self.membership
            .as_ref()
            .map(|membership| membership.members.as_slice())
            .unwrap_or_default()
    }

    /// Returns the members of the group, by rank, if this engine is one of them.
    pub(super) fn members_of(&self, target: Target) -> Option<&[SocketAddr]> {
        let membership = self.membership.as_ref()?;
        (membership.target == target).then_some(membership.members.as_slice())
    }

    pub(super) fn is_ready_for(&self, target: Target) -> bool {
        self.membership
            .as_ref()
            .is_some_and(|membership| membership.target == target && membership.ready.is_some())
    }

    pub(super) fn step_time(&self) -> Duration {
        self.settings.token_time.mul_f64(self.slowdown)
    }

    const fn state(&self) -> EngineState {
        match &self.membership {
            None => EngineState::Empty,
            Some(GroupMembership { ready: None, .. }) => EngineState::Loading,
            Some(_) => EngineState::Ready,
        }
    }

    fn temperature(&self, now: Moment) -> Temperature {
        let ready = self
            .membership
            .as_ref()
            .and_then(|membership| membership.ready);
        match ready {
            Some(ready) if is_warm(ready, self.settings.warm_up_time, now) => Temperature::Warm,
            _ => Temperature::Cold,
        }
    }
}
