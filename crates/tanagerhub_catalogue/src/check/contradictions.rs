//! Finds limits that contradict each other.

use super::source::{Collector, Item};
use crate::{Catalogue, Entry, FindingReason, Limits};

/// The shortest time for which a request is assumed to occupy a replica, in milliseconds. The
/// document states no service times; a low value avoids warnings about fast services.
const MIN_REQUEST_MS: u64 = 10;

/// Warns about limits that can't be reached because of other limits of the document.
pub(super) fn check(catalogue: &Catalogue, collector: &mut Collector<'_>) {
    for (index, entry) in catalogue.entries.iter().enumerate() {
        check_queue(index, entry, collector);
    }
    if catalogue.entries.is_empty() {
        return;
    }
    let limits = || catalogue.entries.iter().map(|entry| &entry.limits);
    let waiting: u64 = limits().map(|limits| u64::from(limits.queue)).sum();
    let running = limits().map(slots).fold(0, u64::saturating_add);
    check_organisations(catalogue, running, waiting, collector);
}

fn check_queue(index: usize, entry: &Entry, collector: &mut Collector<'_>) {
    let limits = &entry.limits;
    let deadline_ms = u64::try_from(limits.timeout.as_millis()).unwrap_or(u64::MAX);
    let rounds = (deadline_ms / MIN_REQUEST_MS).saturating_add(1);
    let served = slots(limits).saturating_mul(rounds);
    // A model without replicas has its own finding.
    if limits.replicas_max == 0 || u64::from(limits.queue) <= served {
        return;
    }
    let item = Item {
        section: "entries",
        index,
        name: &entry.name,
    };
    let reason = FindingReason::QueueBeyondDeadline {
        queue: limits.queue,
        served,
        deadline_ms,
    };
    collector.warn(item, "limits.queue", reason);
}

/// Compares the limits of each organisation with what all entries together can take: `running` and
/// `waiting` requests.
fn check_organisations(
    catalogue: &Catalogue,
    running: u64,
    waiting: u64,
    collector: &mut Collector<'_>,
) {
    let accepted = running.saturating_add(waiting);
    let served = to_f64(running) * 1_000.0 / to_f64(MIN_REQUEST_MS);
    for (index, organisation) in catalogue.organisations.iter().enumerate() {
        let item = Item {
            section: "organisations",
            index,
            name: &organisation.name,
        };
        let limits = &organisation.limits;
        if let Some(limit) = limits.concurrency.filter(|it| u64::from(*it) > accepted) {
            let reason = FindingReason::ConcurrencyBeyondEntries { limit, accepted };
            collector.warn(item, "limits.concurrency", reason);
        }
        if let Some(limit) = limits.requests.filter(|limit| limit.0 > served) {
            let limit = limit.0;
            let reason = FindingReason::RateBeyondEntries { limit, served };
            collector.warn(item, "limits.requests", reason);
        }
    }
}

/// Returns the number of requests that run on all replicas of an entry at most.
fn slots(limits: &Limits) -> u64 {
    u64::from(limits.replicas_max) * u64::from(limits.concurrency)
}

/// Converts a count for a comparison of rates; counts above 2^32 are rounded down to it.
fn to_f64(count: u64) -> f64 {
    f64::from(u32::try_from(count).unwrap_or(u32::MAX))
}
