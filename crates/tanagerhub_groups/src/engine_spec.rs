//! The configuration of the model engines of a service.

use std::time::Duration;

use tanagerhub_catalogue::EntryId;

use crate::LoadLimit;

/// The configuration of the model engines of one service.
#[derive(Debug, Clone, PartialEq)]
pub struct EngineSpec {
    /// The service's name, as VMs report it.
    pub service: String,
    /// The number of requests that one group runs concurrently.
    pub slots: u32,
    /// The models of the service, each with its own group size.
    pub models: Vec<ModelSpec>,
    /// The limit on model loads from the store of weights.
    pub load_limit: LoadLimit,
}

/// The configuration of one model of a service.
#[derive(Debug, Clone, PartialEq)]
pub struct ModelSpec {
    /// The model's name in requests and orders.
    pub name: String,
    /// The catalogue entry of the model's requests.
    pub entry: EntryId,
    /// The number of VMs in one group; groups are formed only if it is above zero.
    pub group_size: usize,
    /// The model's expected share of the service's work.
    pub share: f64,
    /// The time that a load from the store of weights takes.
    pub load_time: Duration,
    /// The time that a join takes on a VM whose host has the model staged.
    pub join_time: Duration,
}

impl EngineSpec {
    /// Returns the model with this name.
    #[must_use]
    pub fn model(&self, name: &str) -> Option<&ModelSpec> {
        self.models.iter().find(|model| model.name == name)
    }
}
