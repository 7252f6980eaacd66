//! The state that control shares with the tasks that handle requests.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;

use arc_swap::{ArcSwap, ArcSwapOption};
use event_listener::Event;
use tanagerhub_catalogue::GroupId;
use tanagerhub_clock::{Clock, Moment};
use tanagerhub_proxy::MemoryBudget;

use crate::gateway::Configuration;

/// The state that control shares with the tasks that handle requests, and that they read without
/// locks.
#[derive(Debug)]
pub(crate) struct SharedState {
    clock: Clock,
    /// How long keys stay valid without a confirmation from the store, in milliseconds.
    key_life: AtomicU64,
    configuration: ArcSwapOption<Configuration>,
    /// The names of the VMs at the heads of groups, which receive the groups' requests.
    names: ArcSwap<HashMap<GroupId, Arc<str>>>,
    /// The moment at which the operators' rows were last confirmed to be current, in nanoseconds of
    /// the clock; 0 before the first confirmation.
    confirmed_at: AtomicU64,
    /// When this node stops, once it has been told to.
    stop: ArcSwapOption<StopTimes>,
    stop_set: Event,
    /// Whether a request has been received.
    in_use: AtomicBool,
    /// The memory for requests and responses; `None` without a limit.
    memory: Option<MemoryBudget>,
}

/// When a node that was told to stop treats requests in another way.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct StopTimes {
    /// From this moment on, requests that may last too long are refused.
    pub(crate) late_from: Moment,
    /// At this moment the requests without a response are answered.
    pub(crate) answer_by: Moment,
}

impl SharedState {
    pub(crate) fn new(clock: Clock, key_life: Duration) -> Self {
        Self {
            clock,
            key_life: AtomicU64::new(millis(key_life)),
            configuration: ArcSwapOption::empty(),
            names: ArcSwap::default(),
            confirmed_at: AtomicU64::new(0),
            stop: ArcSwapOption::empty(),
            stop_set: Event::new(),
            in_use: AtomicBool::new(false),
            memory: None,
        }
    }

    /// Sets the memory budget.
    pub(crate) fn with_memory(self, memory: Option<MemoryBudget>) -> Self {
        Self { memory, ..self }
    }

    pub(crate) const fn memory(&self) -> Option<&MemoryBudget> {
        self.memory.as_ref()
    }

    pub(crate) fn configuration(&self) -> Option<Arc<Configuration>> {
        self.configuration.load_full()
    }

    pub(crate) fn set_configuration(&self, configuration: Arc<Configuration>) {
        self.configuration.store(Some(configuration));
    }

    pub(crate) fn name(&self, group: GroupId) -> Option<Arc<str>> {
        self.names.load().get(&group).cloned()
    }

    pub(crate) fn set_names(&self, names: HashMap<GroupId, Arc<str>>) {
        self.names.store(Arc::new(names));
    }

    /// Records that the operators' rows were current at `at`.
    pub(crate) fn record_confirmation(&self, at: Moment) {
        self.confirmed_at
            .fetch_max(at.as_nanos(), Ordering::Relaxed);
    }

    /// Sets how long keys stay valid without a confirmation from the store.
    pub(crate) fn set_key_life(&self, life: Duration) {
        self.key_life.store(millis(life), Ordering::Relaxed);
    }

    /// Returns the time since the operators' rows were last confirmed to be current.
    pub(crate) fn age(&self) -> Duration {
        let confirmed_at = Moment::from_nanos(self.confirmed_at.load(Ordering::Relaxed));
        self.clock.now().since(confirmed_at)
    }

    /// Returns whether the last confirmation of the keys is recent enough for their use.
    pub(crate) fn are_keys_valid(&self) -> bool {
        let known = self.confirmed_at.load(Ordering::Relaxed) > 0;
        let life = Duration::from_millis(self.key_life.load(Ordering::Relaxed));
        known && self.age() < life
    }

    /// Records that a request has been received.
    pub(crate) fn mark_in_use(&self) {
        self.in_use.store(true, Ordering::Relaxed);
    }

    pub(crate) fn is_in_use(&self) -> bool {
        self.in_use.load(Ordering::Relaxed)
    }

    /// Records that this node stops.
    pub(crate) fn drain(&self, times: StopTimes) {
        self.stop.store(Some(Arc::new(times)));
        self.stop_set.notify(usize::MAX);
    }

    /// Returns whether a request that arrives now, and may last until `deadline`, is refused since
    /// the node may stop before.
    pub(crate) fn is_too_late(&self, deadline: Moment) -> bool {
        let stop = self.stop.load();
        stop.as_ref()
            .is_some_and(|stop| self.clock.now() >= stop.late_from && deadline > stop.answer_by)
    }

    /// Completes when all requests without a response must be answered, since the node is about to
    /// end.
    pub(crate) async fn wait_for_stop(&self) {
        loop {
            let stop_set = self.stop_set.listen();
            if let Some(stop) = self.stop.load_full() {
                let left = stop.answer_by.since(self.clock.now());
                return self.clock.sleep(left).await;
            }
            stop_set.await;
        }
    }

    /// Returns whether the load balancer may send callers to this node.
    pub(crate) fn is_ready(&self) -> bool {
        let configured = self.configuration.load().is_some();
        configured && self.stop.load().is_none() && self.are_keys_valid()
    }
}

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
