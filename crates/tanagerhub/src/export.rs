//! Exports a node's counters as metrics.

use std::sync::Arc;
use std::time::Duration;

use serde_json::Value;
use tanagerhub_clock::Clock;
use tanagerhub_wire::peers::PeerSender;

use crate::Metrics;
use crate::claim_handle::ClaimHandle;
use crate::traffic_handle::TrafficHandle;

/// The time between two exports.
const EXPORT_PERIOD: Duration = Duration::from_secs(10);

/// Exports the counters periodically until the task is cancelled.
pub(crate) async fn run(
    metrics: Metrics,
    clock: Clock,
    traffic: Arc<TrafficHandle>,
    claims: Arc<ClaimHandle>,
    peers: PeerSender,
) {
    loop {
        clock.sleep(EXPORT_PERIOD).await;
        let status = traffic.with(|traffic, now| traffic.status(now));
        metrics.gauge("traffic.open", status.open as u64);
        send_gauges(&metrics, "traffic", &status.counters);
        send_gauges(&metrics, "peers", &peers.counters());
        metrics.gauge("claims.open", claims.open_claims() as u64);
    }
}

/// Sends each numeric field of a flat structure as the gauge `{group}.{field}`.
fn send_gauges(metrics: &Metrics, group: &str, counters: &impl serde::Serialize) {
    let Ok(Value::Object(fields)) = serde_json::to_value(counters) else {
        return;
    };
    for (name, value) in fields {
        if let Some(value) = value.as_u64() {
            metrics.gauge(&format!("{group}.{name}"), value);
        }
    }
}
