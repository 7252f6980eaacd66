//! The memory budget as metrics and as part of the state dump.

use prometheus_client::collector::Collector;
use prometheus_client::encoding::{DescriptorEncoder, EncodeMetric as _};
use prometheus_client::metrics::MetricType;
use prometheus_client::metrics::counter::ConstCounter;
use prometheus_client::metrics::gauge::ConstGauge;
use serde::Serialize;
use tanagerhub_proxy::{MemoryBudget, Part, PartUsage, StallLimit};

/// Reads the values of the budget whenever the metrics are read.
#[derive(Debug)]
pub(crate) struct MemoryCollector {
    pub(crate) budget: MemoryBudget,
    pub(crate) stall: StallLimit,
}

/// A gauge of one part of the budget.
struct PartGauge {
    name: &'static str,
    help: &'static str,
    value: fn(&PartUsage) -> u64,
}

const PART_GAUGES: [PartGauge; 4] = [
    PartGauge {
        name: "memory_used_bytes",
        help: "Reserved memory, by part",
        value: |usage| usage.used,
    },
    PartGauge {
        name: "memory_limit_bytes",
        help: "Memory that may be reserved, by part",
        value: |usage| usage.limit,
    },
    PartGauge {
        name: "memory_level",
        help: "How full a part is: 0 normal, 1 soft, 2 hard",
        value: |usage| usage.level as u64,
    },
    PartGauge {
        name: "memory_waiting",
        help: "Requests that wait for memory, by part",
        value: |usage| usage.waiting as u64,
    },
];

impl Collector for MemoryCollector {
    fn encode(&self, mut encoder: DescriptorEncoder) -> Result<(), std::fmt::Error> {
        let usages = Part::ALL.map(|part| (part, self.budget.usage(part)));
        for PartGauge { name, help, value } in PART_GAUGES {
            let mut metric = encoder.encode_descriptor(name, help, None, MetricType::Gauge)?;
            for (part, usage) in &usages {
                let gauge = ConstGauge::new(i64::try_from(value(usage)).unwrap_or(i64::MAX));
                gauge.encode(metric.encode_family(&[("part", part.name())])?)?;
            }
        }
        let help = "Requests refused for lack of memory, by part";
        let counter = MetricType::Counter;
        let mut metric = encoder.encode_descriptor("memory_refused", help, None, counter)?;
        for (part, usage) in &usages {
            let refused = ConstCounter::new(usage.refused);
            refused.encode(metric.encode_family(&[("part", part.name())])?)?;
        }
        let help = "Callers' connections closed because they took no bytes";
        let metric = encoder.encode_descriptor("stalled_callers", help, None, counter)?;
        ConstCounter::new(self.stall.ended()).encode(metric)
    }
}

/// The usage of one part of the memory budget.
#[derive(Debug, Serialize)]
pub(crate) struct MemoryDump {
    part: &'static str,
    level: &'static str,
    used_bytes: u64,
    peak_bytes: u64,
    limit_bytes: u64,
    waiting: usize,
    refused: u64,
}

impl MemoryDump {
    pub(crate) fn of(budget: &MemoryBudget) -> Vec<Self> {
        let parts = Part::ALL.into_iter().map(|part| {
            let usage = budget.usage(part);
            Self {
                part: part.name(),
                level: usage.level.name(),
                used_bytes: usage.used,
                peak_bytes: usage.peak,
                limit_bytes: usage.limit,
                waiting: usage.waiting,
                refused: usage.refused,
            }
        });
        parts.collect()
    }
}
