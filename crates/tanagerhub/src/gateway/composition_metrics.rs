//! The metrics of the composition of groups.

use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;
use tanagerhub_groups::ModelStatus;

/// The metrics of the composition of groups, which only the planner has; clones share their values.
#[derive(Debug, Clone, Default)]
pub(crate) struct CompositionMetrics {
    groups: Family<Model, Gauge>,
    target_groups: Family<Model, Gauge>,
    missed: Family<Model, Gauge>,
}

#[derive(Debug, Clone, Hash, PartialEq, Eq, EncodeLabelSet)]
struct Model {
    model: String,
}

impl CompositionMetrics {
    pub(crate) fn register(&self, registry: &mut Registry) {
        let gauges = [
            ("groups", "Groups of a model", &self.groups),
            (
                "target_groups",
                "Groups that a model is to have by the demand",
                &self.target_groups,
            ),
            (
                "missed_percent",
                "Asks for a model of the last 3 s that were overdue or refused",
                &self.missed,
            ),
        ];
        for (name, help, gauge) in gauges {
            registry.register(format!("model_{name}"), help, gauge.clone());
        }
    }

    /// Replaces the values; without models, none are left.
    pub(crate) fn record(&self, models: &[ModelStatus]) {
        for family in [&self.groups, &self.target_groups, &self.missed] {
            family.clear();
        }
        for status in models {
            let model = Model {
                model: status.model.clone(),
            };
            self.groups.get_or_create(&model).set(count(status.groups));
            let target = count(status.target_groups);
            self.target_groups.get_or_create(&model).set(target);
            self.missed
                .get_or_create(&model)
                .set(count(status.missed_percent()));
        }
    }
}

fn count<T: TryInto<i64>>(value: T) -> i64 {
    value.try_into().unwrap_or(i64::MAX)
}
