//! The demand and the composition of each model, for operators.

use serde::Serialize;
use tanagerhub_catalogue::EntryId;

use super::{Groups, percent};

/// The demand of a model, and its groups. The groups are complete only on the planner.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct ModelStatus {
    /// The service whose VMs run the model.
    pub service: String,
    /// The model's name.
    pub model: String,
    /// The catalogue entry of its requests.
    pub entry: EntryId,
    /// The groups that are not being dissolved.
    pub groups: usize,
    /// The target number of groups in all domains.
    pub target_groups: usize,
    /// The asks of the last 3 s, as last reported; zero if no demand is reported.
    pub asks: u32,
    /// The share of these asks that were overdue or refused for want of capacity.
    pub missed_share: f64,
    /// The requests in use per request of the groups' limits; `None` if it is not reported.
    pub usage: Option<f64>,
    /// Whether the model is short, so that further VMs load it first.
    pub short: bool,
}

impl ModelStatus {
    /// Returns the share of missed asks in percent.
    #[must_use]
    pub fn missed_percent(&self) -> u64 {
        percent(self.missed_share)
    }
}

impl Groups {
    /// Returns the demand and the composition of each model.
    #[must_use]
    pub fn model_statuses(&self) -> Vec<ModelStatus> {
        let mut statuses = Vec::new();
        for engine in &self.engines {
            let compositions = self.compositions(engine);
            for (index, model) in engine.models.iter().enumerate() {
                let targets = compositions.values().map(|it| it.group_counts[index]);
                statuses.push(ModelStatus {
                    service: engine.service.clone(),
                    model: model.name.clone(),
                    entry: model.entry,
                    groups: self.groups_of(engine, model).count(),
                    target_groups: targets.sum(),
                    asks: self.demand.asks(model.entry),
                    missed_share: self.demand.missed_share(model.entry),
                    usage: self.demand.usage(model.entry),
                    short: self.demand.is_short(model.entry),
                });
            }
        }
        statuses
    }
}
