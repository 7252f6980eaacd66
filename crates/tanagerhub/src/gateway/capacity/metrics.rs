//! The metrics of shared capacity.

use std::sync::atomic::AtomicU64;

use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;
use tanagerhub_capacity::{BorrowerStatus, CoordinatorStatus};

/// The metrics of shared capacity; clones share their values.
#[derive(Debug, Clone, Default)]
pub(crate) struct CapacityMetrics {
    datagrams: Family<Outcome, Counter>,
    asks: Family<Outcome, Counter>,
    decisions: Family<Outcome, Counter>,
    repeated_asks: Family<Outcome, Counter>,
    shares: Gauge,
    shares_lent: Gauge,
    lenders: Gauge,
    starts_lent: Gauge,
    limit: Gauge,
    reading: Gauge,
    first_byte_ms: Gauge<f64, AtomicU64>,
}

#[derive(Debug, Clone, Hash, PartialEq, Eq, EncodeLabelSet)]
struct Outcome {
    outcome: &'static str,
}

impl CapacityMetrics {
    pub(crate) fn register(&self, registry: &mut Registry) {
        let counters = [
            (
                "datagrams",
                "Datagrams, by what became of them",
                &self.datagrams,
            ),
            (
                "asks",
                "Asks of this node to coordinators, and what became of them",
                &self.asks,
            ),
            (
                "decisions",
                "Decisions of this node's coordinators, by outcome",
                &self.decisions,
            ),
            (
                "repeated_asks",
                "Decisions of this node's coordinators on asks for requests refused within 5 s before",
                &self.repeated_asks,
            ),
        ];
        for (name, help, counter) in counters {
            registry.register(format!("capacity_{name}"), help, counter.clone());
        }
        let gauges = [
            (
                "shares",
                "Shares of start limits of this node",
                &self.shares,
            ),
            (
                "shares_lent",
                "Shares of start limits that this node lends",
                &self.shares_lent,
            ),
            (
                "lenders",
                "Nodes that lend to this node's coordinators, counted for each shard",
                &self.lenders,
            ),
            (
                "starts_lent",
                "Starts in a second that nodes lend to this node's coordinators",
                &self.starts_lent,
            ),
            (
                "limit",
                "Sum of the learned limits of the coordinators' groups, in requests",
                &self.limit,
            ),
            (
                "reading",
                "Requests without a first byte at the coordinator's groups",
                &self.reading,
            ),
        ];
        for (name, help, gauge) in gauges {
            registry.register(format!("capacity_{name}"), help, gauge.clone());
        }
        registry.register(
            "capacity_first_byte_ms",
            "Highest expected wait for a first byte at a group of this node's coordinator",
            self.first_byte_ms.clone(),
        );
    }

    pub(crate) fn datagram(&self, outcome: &'static str) {
        self.datagrams.get_or_create(&Outcome { outcome }).inc();
    }

    /// Counts a decision of one of this node's coordinators.
    pub(crate) fn decision(&self, outcome: &'static str) {
        self.decisions.get_or_create(&Outcome { outcome }).inc();
    }

    /// Counts a decision on an ask, and counts it among the repeated asks if it is one.
    pub(crate) fn ask_decision(&self, outcome: &'static str, is_repeated: bool) {
        self.decision(outcome);
        if is_repeated {
            self.repeated_asks.get_or_create(&Outcome { outcome }).inc();
        }
    }

    pub(crate) fn record_coordinators(&self, status: &[CoordinatorStatus]) {
        let entries = || status.iter().flat_map(|it| &it.entries);
        let groups = || entries().flat_map(|entry| &entry.groups);
        let lenders = status.iter().map(|it| count(it.lenders));
        self.lenders.set(lenders.sum());
        self.starts_lent
            .set(groups().map(|group| i64::from(group.lent)).sum());
        self.limit
            .set(groups().map(|group| i64::from(group.limit)).sum());
        self.reading
            .set(groups().map(|group| i64::from(group.reading)).sum());
        let waits = groups().filter_map(|group| group.first_byte_ms);
        self.first_byte_ms.set(waits.fold(0.0, f64::max));
    }

    pub(crate) fn record_borrower(&self, status: &BorrowerStatus) {
        let shards = || status.shards.iter();
        self.shares
            .set(shards().map(|shard| count(shard.shares)).sum());
        self.shares_lent
            .set(shards().map(|shard| count(shard.lent)).sum());
        let counters = &status.counters;
        let totals = [
            ("sent", counters.asks),
            ("granted", counters.grants),
            ("refused", counters.refusals),
            ("unused", counters.unused),
            ("too_old", counters.too_old),
            ("expired", counters.expired),
            ("moved", counters.moved),
            ("renewed", counters.renewed),
        ];
        for (outcome, total) in totals {
            let counter = self.asks.get_or_create(&Outcome { outcome });
            counter.inc_by(total.saturating_sub(counter.get()));
        }
    }
}

fn count(value: usize) -> i64 {
    i64::try_from(value).unwrap_or(i64::MAX)
}
