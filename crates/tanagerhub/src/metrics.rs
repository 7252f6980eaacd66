//! The StatsD metrics of a node.

use std::fmt;
use std::sync::Arc;

use cadence::{Counted, Gauged, NopMetricSink, StatsdClient, Timed};

/// The prefix of all metric names.
const METRIC_PREFIX: &str = "tanagerhub";

/// Sends a node's metrics to a StatsD server, or discards them.
///
/// A metric that can't be sent is dropped, so that no request waits for it.
#[derive(Clone)]
pub struct Metrics(Arc<StatsdClient>);

impl Metrics {
    /// Returns metrics that are discarded.
    #[must_use]
    pub fn off() -> Self {
        Self::new(StatsdClient::from_sink(METRIC_PREFIX, NopMetricSink))
    }

    /// Returns metrics that are sent through `client`.
    #[must_use]
    pub fn new(client: StatsdClient) -> Self {
        Self(Arc::new(client))
    }

    /// Adds `increment` to a counter.
    pub fn count(&self, name: &str, increment: u64) {
        let increment = i64::try_from(increment).unwrap_or(i64::MAX);
        drop(self.0.count(name, increment));
    }

    /// Sets a gauge to `value`.
    pub fn gauge(&self, name: &str, value: u64) {
        drop(self.0.gauge(name, value));
    }

    /// Records a duration in milliseconds.
    pub fn time(&self, name: &str, duration_ms: u64) {
        drop(self.0.time(name, duration_ms));
    }
}

impl fmt::Debug for Metrics {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Metrics(..)")
    }
}
