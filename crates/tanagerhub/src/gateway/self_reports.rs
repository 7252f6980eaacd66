//! Passes what backend servers report of themselves to the decisions, and logs it.

use std::sync::Arc;

use async_channel::Sender;
use http::header::HeaderName;
use http::{HeaderMap, HeaderValue};
use tanagerhub_catalogue::VmId;
use tanagerhub_groups::GroupsEvent;
use tanagerhub_traffic::{Dispatch, SelfReport, SelfReportChange, ServerLifetime};

use crate::gateway::call::Call;
use crate::gateway::control::GatewayEvent;
use crate::gateway::front::Frontend;
use crate::gateway::{DecodedReport, GatewayMetrics};
use crate::traffic_handle::TrafficHandle;

/// Names the backend server of a forwarded response that says that the server is about to leave. The
/// node that passes the response on knows no other way which server that is.
const LEAVING_SERVER: HeaderName = HeaderName::from_static("tanagerhub-leaving-server");

impl Frontend {
    /// Names the leaving server in a response that goes to the node that forwarded the request.
    pub(crate) fn mark_leaving(&self, dispatch: Dispatch, headers: &mut HeaderMap, leaves: bool) {
        headers.remove(LEAVING_SERVER);
        let server = self
            .traffic
            .with(|traffic, _| traffic.attempt_server(dispatch.attempt));
        let value = server.filter(|_| leaves).and_then(encode_server);
        if let Some(value) = value {
            headers.insert(LEAVING_SERVER, value);
        }
    }

    /// Records what a response that another node has received says about its backend server, before
    /// the response is passed on.
    pub(crate) fn record_forwarded_report(&self, call: &Call, headers: &mut HeaderMap) {
        let Some(value) = headers.remove(LEAVING_SERVER) else {
            return;
        };
        let Some(server) = decode_server(&value) else {
            let error = format!("{value:?}");
            return self.metrics.unreadable_value("leaving server", &error);
        };
        let report = SelfReport {
            leaving: true,
            pause: None,
        };
        let change = self
            .traffic
            .with(|traffic, now| traffic.record_report_of(now, server, report, false));
        let vm = format!("{:016x}", server.server.0);
        log_change(&self.metrics, Some(call.id.as_str()), &vm, change, None);
        send_leaving(&self.suspicions, server);
    }

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

fn encode_server(server: ServerLifetime) -> Option<HeaderValue> {
    let text = format!("{:x}-{:x}", server.server.0, server.started_ms);
    HeaderValue::from_str(&text).ok()
}

fn decode_server(value: &HeaderValue) -> Option<ServerLifetime> {
    let (server, started_ms) = value.to_str().ok()?.split_once('-')?;
    Some(ServerLifetime {
        server: VmId(u64::from_str_radix(server, 16).ok()?),
        started_ms: u64::from_str_radix(started_ms, 16).ok()?,
    })
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
