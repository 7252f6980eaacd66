//! Counters and gauges of a node.

use std::fmt;
use std::sync::Arc;

use cadence::{Counted, Gauged, NopMetricSink, StatsdClient, Timed};

/// The start of every metric's name.
const METRIC_PREFIX: &str = "tanagerhub";

/// Where a node's metrics go; a StatsD server, or nowhere.
///
/// A metric that can't be sent is dropped, since no request may wait for it.
#[derive(Clone)]
pub struct Metrics(Arc<StatsdClient>);

impl Metrics {
    /// Metrics that go nowhere.
    #[must_use]
    pub fn off() -> Self {
        Self::new(StatsdClient::from_sink(METRIC_PREFIX, NopMetricSink))
    }

    /// Metrics sent through this client.
    #[must_use]
    pub fn new(client: StatsdClient) -> Self {
        Self(Arc::new(client))
    }

    /// Adds to a counter.
    pub fn count(&self, name: &str, increment: u64) {
        let increment = i64::try_from(increment).unwrap_or(i64::MAX);
        drop(self.0.count(name, increment));
    }

    /// Sets a gauge.
    pub fn gauge(&self, name: &str, value: u64) {
        drop(self.0.gauge(name, value));
    }

    /// Records a time, in milliseconds.
    pub fn time(&self, name: &str, duration_ms: u64) {
        drop(self.0.time(name, duration_ms));
    }
}

impl fmt::Debug for Metrics {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Metrics(..)")
    }
}
