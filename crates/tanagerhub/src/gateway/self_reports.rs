//! Passes what backend servers report of themselves to the decisions, and logs it.

use std::sync::Arc;

use async_channel::Sender;
use tanagerhub_groups::GroupsEvent;
use tanagerhub_traffic::{Dispatch, SelfReportChange, ServerLifetime};

use crate::gateway::call::Call;
use crate::gateway::control::GatewayEvent;
use crate::gateway::front::Frontend;
use crate::gateway::{DecodedReport, GatewayMetrics};
use crate::traffic_handle::TrafficHandle;

impl Frontend {
    /// Records what the response to an attempt says about its backend server, before the response
    /// is passed on.
    pub(crate) fn record_self_report(
        &self,
        call: &Call,
        dispatch: Dispatch,
        vm: &str,
        decoded: &DecodedReport,
    ) {
        if is_empty(decoded) {
            return;
        }
        let DecodedReport { report, invalid } = decoded;
        let (server, change) = self.traffic.with(|traffic, now| {
            let server = traffic.attempt_server(dispatch.attempt);
            let attempt = dispatch.attempt;
            let change = traffic.record_self_report(now, attempt, *report, invalid.is_some());
            (server, change)
        });
        let request = Some(call.id.as_str());
        log_change(&self.metrics, request, vm, change, invalid.as_deref());
        if let Some(server) = server.filter(|_| change.leaves) {
            send_leaving(&self.suspicions, server);
        }
    }
}

/// Records what the response to a probe or an order says about its backend server.
pub(crate) fn record_engine_report(
    traffic: &Arc<TrafficHandle>,
    metrics: &GatewayMetrics,
    events: &Sender<GatewayEvent>,
    server: ServerLifetime,
    vm: &str,
    decoded: &DecodedReport,
) {
    if is_empty(decoded) {
        return;
    }
    let DecodedReport { report, invalid } = decoded;
    let change = traffic
        .with(|traffic, now| traffic.record_report_of(now, server, *report, invalid.is_some()));
    log_change(metrics, None, vm, change, invalid.as_deref());
    if report.leaving {
        // Probes repeat it, because the control thread may have learned of the VM only since.
        send_leaving(events, server);
    }
}

fn is_empty(decoded: &DecodedReport) -> bool {
    decoded.report.is_empty() && decoded.invalid.is_none()
}

fn send_leaving(events: &Sender<GatewayEvent>, server: ServerLifetime) {
    let event = GroupsEvent::Leaving {
        vm: server.server,
        started_ms: server.started_ms,
    };
    // Sending fails only after the control thread has ended, which then needs no event.
    drop(events.try_send(GatewayEvent::Groups(event)));
}

fn log_change(
    metrics: &GatewayMetrics,
    request: Option<&str>,
    vm: &str,
    change: SelfReportChange,
    invalid: Option<&str>,
) {
    if change.leaves {
        metrics.self_report("leaving");
        log::info!(request, vm; "a backend server is about to leave");
    }
    if let Some(pause) = change.pause {
        metrics.self_report("paused");
        let pause_ms = pause.as_millis();
        log::info!(request, vm, pause_ms; "a backend server has asked for a pause");
    }
    if let Some(after) = change.again_after {
        metrics.self_report("paused_again");
        let after_ms = after.as_millis();
        log::info!(request, vm, after_ms; "a paused backend server was reached again");
    }
    if let Some(error) = invalid.filter(|_| change.is_first_invalid) {
        metrics.self_report("invalid");
        log::warn!(request, vm, error; "invalid self-report of a backend server ignored");
    }
}
