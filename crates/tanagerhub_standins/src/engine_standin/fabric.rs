//! The shared state of the engines of one site.

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

/// Connects the engines of one site, so that a step can check every member of the group.
#[derive(Debug, Clone)]
pub struct Fabric(Arc<Inner>);

#[derive(Debug)]
struct Inner {
    clock: Clock,
    recorder: Recorder,
    weights: WeightStore,
    engines: Mutex<BTreeMap<SocketAddr, Engine>>,
}

/// The result of one step of a group.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Step {
    /// Every member took part; the step takes this long.
    Done(Duration),
    /// A member is paused, and the step must wait for it.
    Wait,
    /// A member has ended or restarted, has left the group or is not ready.
    Broken,
}

/// The group and epoch that a request or order is addressed to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Target {
    pub(super) group: GroupId,
    pub(super) epoch: Epoch,
}

/// The result of admitting a new request to an engine.
#[derive(Debug)]
pub(super) enum Admission {
    /// The request runs.
    Admitted(Run),
    /// The request was refused, and no part of it ran.
    Refused,
    /// The engine crashed, because the request exceeded the engine's limit for a cold start.
    Crashed,
}

impl Fabric {
    /// Creates a site without engines.
    #[must_use]
    pub fn new(clock: Clock, recorder: Recorder, weights: WeightStore) -> Self {
        Self(Arc::new(Inner {
            clock,
            recorder,
            weights,
            engines: Mutex::default(),
        }))
    }

    /// Returns the clock that all stand-ins of the site share.
    #[must_use]
    pub fn clock(&self) -> &Clock {
        &self.0.clock
    }

    /// Returns the recorder that all stand-ins of the site share.
    #[must_use]
    pub fn recorder(&self) -> &Recorder {
        &self.0.recorder
    }

    /// Returns the VMs whose engines accept requests now, in order of address.
    #[must_use]
    pub fn serving(&self) -> Vec<VmId> {
        let engines = self.lock();
        let serving = engines.values().filter(|engine| engine.is_serving());
        serving.map(Engine::vm).collect()
    }

    /// Returns the members, by rank, of the group whose head is this VM.
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

    /// Applies a change to one engine; returns `None` when there is none at this address.
    pub(super) fn update<T>(
        &self,
        address: SocketAddr,
        change: impl FnOnce(&mut Engine) -> T,
    ) -> Option<T> {
        self.lock().get_mut(&address).map(change)
    }

    /// Sets the process state of one engine, and records the events that follow.
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

    /// Applies an order; returns `None` when it is addressed to another VM.
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

    /// Drops the weights once all requests of the group have ended.
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

    /// Starts a new request at the head of a group, or refuses it.
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

/// One request that runs on an engine; dropping it ends the request.
#[derive(Debug)]
pub(super) struct Run {
    fabric: Fabric,
    address: SocketAddr,
    started: Started,
    /// Cause to record when the run is dropped; `None` once it has finished.
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

    /// Returns whether the group can generate its next token and how long that takes; records the
    /// event [`Event::Finished`] for the last token.
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

    /// Makes the drop of the run record [`StopCause::Crashed`].
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

/// Returns whether an engine that became ready at `ready` is warm at `now`.
pub(super) fn is_warm(ready: Moment, warm_up_time: Duration, now: Moment) -> bool {
    now.since(ready) >= warm_up_time
}
