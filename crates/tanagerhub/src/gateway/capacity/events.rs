//! Logs and counts what this node's coordinators have decided.

use tanagerhub_capacity::{CoordinatorEvent, RefusalReason};

use super::metrics::CapacityMetrics;

const TARGET: &str = "tanagerhub::capacity";

pub(crate) fn record_event(metrics: &CapacityMetrics, event: &CoordinatorEvent) {
    match *event {
        CoordinatorEvent::Granted { is_repeated, .. } => {
            metrics.ask_decision("granted", is_repeated);
        }
        CoordinatorEvent::Refused {
            node,
            ask,
            entry,
            reason,
            urgency,
            is_repeated,
            waited,
            retry_ms,
            running,
            limit,
            first_byte,
        } => {
            let reason = reason_name(reason);
            metrics.ask_decision(reason, is_repeated);
            log::info!(
                target: TARGET,
                node:%, ask = ask.0, entry:%, reason, urgency, repeated = is_repeated,
                running, limit, retry_ms, age_ms = waited.as_millis(),
                first_byte_ms = first_byte.map(|wait| wait.as_secs_f64() * 1e3);
                "ask refused"
            );
        }
        CoordinatorEvent::LimitChanged {
            entry,
            group,
            from,
            to,
            running,
        } => {
            log::info!(
                target: TARGET, entry:%, group:%, before = from, limit = to, running;
                "limit of a group learned"
            );
        }
        CoordinatorEvent::Released { node, next } => {
            metrics.decision("released");
            let next = next.map(|next| next.to_string());
            log::info!(target: TARGET, node:%, next = next.as_deref(); "lender released");
        }
    }
}

/// Returns the name of a reason in metrics and log lines.
const fn reason_name(reason: RefusalReason) -> &'static str {
    match reason {
        RefusalReason::Overloaded => "overloaded",
        RefusalReason::Displaced => "displaced",
        RefusalReason::TimedOut => "timed_out",
        RefusalReason::NoGroup => "no_group",
        RefusalReason::TooLarge => "too_large",
        RefusalReason::NotReady => "not_ready",
    }
}
