//! The metrics of a gateway.

use std::fmt;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::{Histogram, exponential_buckets};
use prometheus_client::registry::Registry;
use tanagerhub_groups::ModelStatus;

use crate::gateway::capacity::CapacityMetrics;
use crate::gateway::composition_metrics::CompositionMetrics;
use crate::gateway::memory_metrics::MemoryCollector;
use crate::gateway::unreadable_values::UnreadableValues;

/// The metrics of a gateway; clones share their values.
#[derive(Clone)]
pub struct GatewayMetrics {
    registry: Arc<Mutex<Registry>>,
    requests: Family<Status, Counter>,
    attempts: Family<Outcome, Counter>,
    incomplete_responses: Family<Outcome, Counter>,
    store_calls: Family<Outcome, Counter>,
    feed_calls: Family<FeedCall, Counter>,
    orders: Family<Outcome, Counter>,
    probes: Family<Outcome, Counter>,
    crash_decisions: Family<Outcome, Counter>,
    server_limits: Family<Outcome, Counter>,
    self_reports: Family<Outcome, Counter>,
    first_byte: Histogram,
    duration: Histogram,
    routes: Gauge,
    unreachable: Gauge,
    ignoring: Gauge,
    store_age: Gauge,
    store_returns: Counter,
    log_drops: Counter,
    capacity: CapacityMetrics,
    composition: CompositionMetrics,
    unreadable_values: UnreadableValues,
}

#[derive(Debug, Clone, Hash, PartialEq, Eq, EncodeLabelSet)]
struct Status {
    status: u16,
}

#[derive(Debug, Clone, Hash, PartialEq, Eq, EncodeLabelSet)]
struct FeedCall {
    source: &'static str,
    answered: bool,
}

#[derive(Debug, Clone, Hash, PartialEq, Eq, EncodeLabelSet)]
struct Outcome {
    outcome: &'static str,
}

impl fmt::Debug for GatewayMetrics {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("GatewayMetrics(..)")
    }
}

impl Default for GatewayMetrics {
    fn default() -> Self {
        let new_histogram = || Histogram::new(exponential_buckets(0.005, 2.0, 12));
        let registry = Registry::with_prefix("tanagerhub");
        let metrics = Self {
            registry: Arc::new(Mutex::new(registry)),
            requests: Family::default(),
            attempts: Family::default(),
            incomplete_responses: Family::default(),
            store_calls: Family::default(),
            feed_calls: Family::default(),
            orders: Family::default(),
            probes: Family::default(),
            crash_decisions: Family::default(),
            server_limits: Family::default(),
            self_reports: Family::default(),
            first_byte: new_histogram(),
            duration: new_histogram(),
            routes: Gauge::default(),
            unreachable: Gauge::default(),
            ignoring: Gauge::default(),
            store_age: Gauge::default(),
            store_returns: Counter::default(),
            log_drops: Counter::default(),
            capacity: CapacityMetrics::default(),
            composition: CompositionMetrics::default(),
            unreadable_values: UnreadableValues::default(),
        };
        metrics.register();
        metrics
    }
}

impl GatewayMetrics {
    fn register(&self) {
        let mut registry = self.registry.lock().unwrap_or_else(PoisonError::into_inner);
        self.register_counters(&mut registry);
        self.register_durations(&mut registry);
        self.register_gauges(&mut registry);
        self.register_parts(&mut registry);
    }

    fn register_counters(&self, registry: &mut Registry) {
        registry.register(
            "requests",
            "Answers to callers, by status",
            self.requests.clone(),
        );
        registry.register(
            "attempts",
            "Attempts at back ends, by what became of them",
            self.attempts.clone(),
        );
        registry.register(
            "incomplete_responses",
            "Requests that ended without a complete response, by cause",
            self.incomplete_responses.clone(),
        );
        registry.register(
            "store_calls",
            "Calls of the store, by outcome",
            self.store_calls.clone(),
        );
        registry.register(
            "feed_calls",
            "Calls for changes of a table, by whom was asked",
            self.feed_calls.clone(),
        );
        registry.register("orders", "Orders to VMs, by outcome", self.orders.clone());
        registry.register("probes", "Probes of VMs, by outcome", self.probes.clone());
        registry.register(
            "crash_decisions",
            "Decisions on requests under which back ends crash, by outcome",
            self.crash_decisions.clone(),
        );
        registry.register(
            "server_limits",
            "Changes of the limits that back ends name, by outcome",
            self.server_limits.clone(),
        );
        registry.register(
            "self_reports",
            "Back ends that report that they leave or want a pause, by what followed",
            self.self_reports.clone(),
        );
    }

    fn register_durations(&self, registry: &mut Registry) {
        registry.register(
            "first_byte_seconds",
            "Time to the first byte of an answer",
            self.first_byte.clone(),
        );
        registry.register(
            "request_seconds",
            "Time to the end of an answer",
            self.duration.clone(),
        );
    }

    /// Registers the gauges, and the counter of dropped log lines.
    fn register_gauges(&self, registry: &mut Registry) {
        registry.register(
            "routes",
            "Back ends that requests may be sent to",
            self.routes.clone(),
        );
        registry.register(
            "unreachable_servers",
            "Back ends that are listed and don't answer this node",
            self.unreachable.clone(),
        );
        registry.register(
            "servers_ignoring_orders",
            "VMs that report and begin no order of this node, which plans",
            self.ignoring.clone(),
        );
        registry.register(
            "store_age_ms",
            "Age of what is known of the operators' rows",
            self.store_age.clone(),
        );
        registry.register(
            "store_returns",
            "Returns of the store from an older copy",
            self.store_returns.clone(),
        );
        registry.register(
            "log_lines_dropped",
            "Lines that the log had no room for",
            self.log_drops.clone(),
        );
    }

    /// Registers the metrics that have modules of their own.
    fn register_parts(&self, registry: &mut Registry) {
        self.capacity.register(registry);
        self.composition.register(registry);
        self.unreadable_values.register(registry);
    }

    /// Returns all metrics in the Prometheus text format.
    #[must_use]
    pub fn text(&self) -> String {
        let mut text = String::new();
        let registry = self.registry.lock().unwrap_or_else(PoisonError::into_inner);
        if let Err(error) = encode(&mut text, &registry) {
            log::error!(error:%; "failed to encode the metrics");
        }
        text
    }

    /// Adds the values of the memory budget, if the node has one.
    pub(crate) fn register_memory(&self, memory: MemoryCollector) {
        let mut registry = self.registry.lock().unwrap_or_else(PoisonError::into_inner);
        registry.register_collector(Box::new(memory));
    }

    /// Returns the counter of log lines that were dropped because the log's buffer was full.
    #[must_use]
    pub fn log_drops(&self) -> Counter {
        self.log_drops.clone()
    }

    pub(crate) const fn capacity(&self) -> &CapacityMetrics {
        &self.capacity
    }

    /// Counts a value of another process that can't be decoded, and logs the first of its kind.
    pub(crate) fn unreadable_value(&self, kind: &'static str, error: &dyn fmt::Display) {
        self.unreadable_values.record(kind, error);
    }

    pub(crate) fn request(&self, status: u16, took: Duration) {
        self.requests.get_or_create(&Status { status }).inc();
        self.duration.observe(took.as_secs_f64());
    }

    pub(crate) fn first_byte(&self, took: Duration) {
        self.first_byte.observe(took.as_secs_f64());
    }

    pub(crate) fn attempt(&self, outcome: &'static str) {
        self.attempts.get_or_create(&Outcome { outcome }).inc();
    }

    pub(crate) fn incomplete_response(&self, outcome: &'static str) {
        let counter = self
            .incomplete_responses
            .get_or_create(&Outcome { outcome });
        counter.inc();
    }

    pub(crate) fn store_call(&self, outcome: &'static str) {
        self.store_calls.get_or_create(&Outcome { outcome }).inc();
    }

    pub(crate) fn feed_call(&self, source: &'static str, answered: bool) {
        let call = FeedCall { source, answered };
        self.feed_calls.get_or_create(&call).inc();
    }

    pub(crate) fn order(&self, outcome: &'static str) {
        self.orders.get_or_create(&Outcome { outcome }).inc();
    }

    pub(crate) fn probe(&self, outcome: &'static str) {
        self.probes.get_or_create(&Outcome { outcome }).inc();
    }

    pub(crate) fn crash_decision(&self, outcome: &'static str) {
        let counter = self.crash_decisions.get_or_create(&Outcome { outcome });
        counter.inc();
    }

    pub(crate) fn server_limit(&self, is_limited: bool) {
        let outcome = if is_limited { "limited" } else { "lifted" };
        self.server_limits.get_or_create(&Outcome { outcome }).inc();
    }

    pub(crate) fn self_report(&self, outcome: &'static str) {
        self.self_reports.get_or_create(&Outcome { outcome }).inc();
    }

    /// Records the composition of groups; a node that does not plan has none.
    pub(crate) fn record_composition(&self, models: &[ModelStatus]) {
        self.composition.record(models);
    }

    pub(crate) fn store_returned(&self) {
        self.store_returns.inc();
    }

    pub(crate) fn record_unreachable(&self, servers: usize) {
        self.unreachable
            .set(i64::try_from(servers).unwrap_or(i64::MAX));
    }

    pub(crate) fn record_ignoring(&self, servers: usize) {
        self.ignoring
            .set(i64::try_from(servers).unwrap_or(i64::MAX));
    }

    pub(crate) fn record_routes(&self, routes: usize, age: Duration) {
        self.routes.set(i64::try_from(routes).unwrap_or(i64::MAX));
        let age = i64::try_from(age.as_millis()).unwrap_or(i64::MAX);
        self.store_age.set(age);
    }
}
