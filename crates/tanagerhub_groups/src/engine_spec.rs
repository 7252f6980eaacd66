//! What is known of the engines of one service.

use std::time::Duration;

use tanagerhub_catalogue::EntryId;

use crate::LoadLimit;

/// The engines of one service.
#[derive(Debug, Clone, PartialEq)]
pub struct EngineSpec {
    /// The service's name.
    pub service: String,
    /// Requests that one group runs at once.
    pub slots: u32,
    /// Models, each served by groups of its own size.
    pub models: Vec<ModelSpec>,
    /// What the store of weights bears.
    pub load_limit: LoadLimit,
}

/// One model of a service.
#[derive(Debug, Clone, PartialEq)]
pub struct ModelSpec {
    /// The name that requests and orders carry.
    pub name: String,
    /// The catalogue entry that its requests belong to.
    pub entry: EntryId,
    /// VMs of one group.
    pub group_size: usize,
    /// Its expected share of the service's work.
    pub share: f64,
    /// How long a load from the store of weights takes.
    pub load_time: Duration,
    /// How long a join takes where the model is staged.
    pub join_time: Duration,
}

impl EngineSpec {
    /// The model with this name.
    #[must_use]
    pub fn model(&self, name: &str) -> Option<&ModelSpec> {
        self.models.iter().find(|model| model.name == name)
    }
}
