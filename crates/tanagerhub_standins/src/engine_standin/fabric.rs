//! The engines of one site, as they know of each other.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use async_std::task;
use tanagerhub_catalogue::{Epoch, GroupId, VmId};
use tanagerhub_clock::{Clock, Moment};
use tanagerhub_fleet::{MemberReport, Order, OrderResponse};

use super::engine::{Engine, ProcessState};
use crate::{EngineSettings, Event, Recorder, RequestId, Started, StopCause, WeightStore};

/// Connects the engines of one site, so that a step can ask for every member.
#[derive(Debug, Clone)]
pub struct Fabric(Arc<Inner>);

#[derive(Debug)]
struct Inner {
    clock: Clock,
    recorder: Recorder,
    weights: WeightStore,
    engines: Mutex<BTreeMap<SocketAddr, Engine>>,
}

/// What a step of a group came to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Step {
    /// Every member took part; the step took this long.
    Done(Duration),
    /// A member is paused: the step waits for it.
    Wait,
    /// A member is missing for good.
    Broken,
}

/// What a request is meant for, from its headers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Target {
    pub(super) group: GroupId,
    pub(super) epoch: Epoch,
}

/// What an engine said to a new request.
#[derive(Debug)]
pub(super) enum Admission {
    /// It runs.
    Admitted(Run),
    /// It was refused, and no part of it ran.
    Refused,
    /// The engine was in cold start, and it was one request too many.
    Crashed,
}

impl Fabric {
    /// An empty site.
    #[must_use]
    pub fn new(clock: Clock, recorder: Recorder, weights: WeightStore) -> Self {
        Self(Arc::new(Inner {
            clock,
            recorder,
            weights,
            engines: Mutex::default(),
        }))
    }

    /// The clock that all stand-ins of the site share.
    #[must_use]
    pub fn clock(&self) -> &Clock {
        &self.0.clock
    }

    /// The log that all stand-ins of the site share.
    #[must_use]
    pub fn recorder(&self) -> &Recorder {
        &self.0.recorder
    }

    /// The VMs whose engines take requests now, in order of address.
    #[must_use]
    pub fn serving(&self) -> Vec<VmId> {
        let engines = self.lock();
        let serving = engines.values().filter(|engine| engine.is_serving());
        serving.map(Engine::vm).collect()
    }

    /// The members of the group that this VM serves as rank 0, by rank.
    #[must_use]
    pub fn members(&self, head: VmId) -> Vec<VmId> {
        let engines = self.lock();
        let head = engines.values().find(|engine| engine.vm() == head);
        let members = head.map(Engine::members).unwrap_or_default();
        let vms = members.iter().filter_map(|member| engines.get(member));
        vms.map(Engine::vm).collect()
    }

    pub(super) fn add(&self, address: SocketAddr, settings: EngineSettings) {
        self.lock().insert(address, Engine::new(settings));
    }

    /// Changes one engine.
    pub(super) fn update<T>(
        &self,
        address: SocketAddr,
        change: impl FnOnce(&mut Engine) -> T,
    ) -> Option<T> {
        self.lock().get_mut(&address).map(change)
    }

    /// Changes one engine's power, and notes it.
    pub(super) fn set_process_state(&self, address: SocketAddr, process_state: ProcessState) {
        let mut engines = self.lock();
        let Some(engine) = engines.get_mut(&address) else {
            return;
        };
        for event in engine.set_process_state(process_state) {
            self.0.recorder.record(event);
        }
    }

    pub(super) fn report(&self, address: SocketAddr) -> Option<MemberReport> {
        let now = self.0.clock.now();
        self.update(address, |engine| engine.report(now))
    }

    /// Obeys an order; `None` means that it is meant for another VM.
    pub(super) fn apply_order(&self, address: SocketAddr, order: &Order) -> Option<OrderResponse> {
        let mut engines = self.lock();
        let vms = engines
            .iter()
            .map(|(address, engine)| (*address, engine.vm()))
            .collect();
        let engine = engines.get_mut(&address)?;
        if engine.vm() != order.vm {
            return None;
        }
        let effects = engine.apply_order(order, &vms);
        for event in effects.events {
            self.0.recorder.record(event);
        }
        if let Some(load_number) = effects.load_number {
            task::spawn(self.clone().load(address, load_number));
        }
        if effects.release {
            task::spawn(self.clone().release(address, order.group));
        }
        Some(effects.response)
    }

    async fn load(self, address: SocketAddr, load_number: u64) {
        self.0.weights.load().await;
        let now = self.0.clock.now();
        self.update(address, |engine| engine.finish_load(load_number, now));
    }

    /// Drops the weights once the group's requests have ended.
    async fn release(self, address: SocketAddr, group: GroupId) {
        const POLL_INTERVAL: Duration = Duration::from_millis(20);
        while !self.try_release(address, group) {
            self.0.clock.sleep(POLL_INTERVAL).await;
        }
    }

    fn try_release(&self, address: SocketAddr, group: GroupId) -> bool {
        let mut engines = self.lock();
        if engines
            .values()
            .any(|engine| engine.has_running_requests(group))
        {
            return false;
        }
        if let Some(engine) = engines.get_mut(&address) {
            engine.drop_released(group);
        }
        true
    }

    /// Takes a new request at rank 0, or refuses it.
    pub(super) fn begin(
        &self,
        address: SocketAddr,
        target: Option<Target>,
        request_id: RequestId,
    ) -> Admission {
        let now = self.0.clock.now();
        let mut engines = self.lock();
        let Some(engine) = engines.get_mut(&address) else {
            return Admission::Refused;
        };
        let Some(started) = engine.begin(target, request_id, now) else {
            return Admission::Refused;
        };
        let crashed = started.cold && started.running > started.cold_limit;
        let vm = started.vm;
        let run = Run::new(self.clone(), address, &started);
        self.0.recorder.record(Event::Started(started));
        if !crashed {
            return Admission::Admitted(run);
        }
        self.0.recorder.record(Event::ColdCrash { vm });
        drop(engines);
        drop(run);
        Admission::Crashed
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<SocketAddr, Engine>> {
        self.0
            .engines
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

/// One request that an engine runs; dropping it ends it.
#[derive(Debug)]
pub(super) struct Run {
    fabric: Fabric,
    address: SocketAddr,
    started: Started,
    cause: Option<StopCause>,
}

impl Run {
    fn new(fabric: Fabric, address: SocketAddr, started: &Started) -> Self {
        Self {
            fabric,
            address,
            started: started.clone(),
            cause: Some(StopCause::Cancelled),
        }
    }

    pub(super) const fn is_cold(&self) -> bool {
        self.started.cold
    }

    /// Whether and how fast the group makes its next token; the last one is noted.
    pub(super) fn step(&mut self, last: bool) -> Step {
        let engines = self.fabric.lock();
        let step = self.next_step(&engines);
        match step {
            Step::Broken => self.cause = Some(StopCause::Broken),
            Step::Done(_) if last => {
                self.cause = None;
                self.fabric.0.recorder.record(Event::Finished {
                    request_id: self.started.request_id.clone(),
                    vm: self.started.vm,
                    group: self.started.group,
                });
            }
            Step::Done(_) | Step::Wait => {}
        }
        drop(engines);
        step
    }

    /// Notes that the request crashes its engine.
    pub(super) const fn mark_crashed(&mut self) {
        self.cause = Some(StopCause::Crashed);
    }

    fn next_step(&self, engines: &BTreeMap<SocketAddr, Engine>) -> Step {
        let Some(head) = engines.get(&self.address) else {
            return Step::Broken;
        };
        if head.boot() != self.started.boot {
            return Step::Broken;
        }
        let target = Target {
            group: self.started.group,
            epoch: self.started.epoch,
        };
        let Some(members) = head.members_of(target) else {
            return Step::Broken;
        };
        let mut slowest = Duration::ZERO;
        let mut member_paused = false;
        for member in members {
            let Some(engine) = engines.get(member) else {
                return Step::Broken;
            };
            match engine.process_state() {
                ProcessState::Down => return Step::Broken,
                ProcessState::Paused => member_paused = true,
                ProcessState::Up => {}
            }
            if !engine.is_ready_for(target) {
                return Step::Broken;
            }
            slowest = slowest.max(engine.step_time());
        }
        if member_paused {
            Step::Wait
        } else {
            Step::Done(slowest)
        }
    }
}

impl Drop for Run {
    fn drop(&mut self) {
        let boot = self.started.boot;
        self.fabric
            .update(self.address, |engine| engine.request_ended(boot));
        if let Some(cause) = self.cause {
            self.fabric.0.recorder.record(Event::Stopped {
                request_id: self.started.request_id.clone(),
                vm: self.started.vm,
                cause,
            });
        }
    }
}

/// The time after which a group that became ready is warm.
pub(super) fn is_warm(ready: Moment, warm_up_time: Duration, now: Moment) -> bool {
    now.since(ready) >= warm_up_time
}
