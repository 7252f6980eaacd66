//! Catalogue entries: models and plain services.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, serde_as};

use crate::EntryId;

/// One model or service that callers can call.
// serde can't deny unknown fields beside a flattened one, so the document reader refuses them.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Entry {
    /// The name by which callers address the entry.
    pub name: String,
    /// The team or organisation that is responsible for the entry.
    pub owner: String,
    /// How urgent its requests are.
    pub class: Class,
    /// Its limits, over all nodes together.
    #[serde(default)]
    pub limits: Limits,
    /// Whether it is a model or a plain service, with the settings of that kind.
    #[serde(flatten)]
    pub kind: EntryKind,
}

impl Entry {
    /// Returns the id computed from the entry's name.
    #[must_use]
    pub fn id(&self) -> EntryId {
        EntryId::of(&self.name)
    }

    /// Returns the model's settings if the entry is a model.
    #[must_use]
    pub const fn model(&self) -> Option<&ModelEntry> {
        match &self.kind {
            EntryKind::Model(model) => Some(model),
            EntryKind::Service(_) => None,
        }
    }

    /// Returns the service's settings if the entry is a plain service.
    #[must_use]
    pub const fn service(&self) -> Option<&ServiceEntry> {
        match &self.kind {
            EntryKind::Service(service) => Some(service),
            EntryKind::Model(_) => None,
        }
    }
}

/// How urgent an entry's requests are; earlier variants take precedence.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Class {
    /// A person waits for the response.
    Interactive,
    /// Ordinary requests.
    Standard,
    /// Requests with the lowest precedence, after those of all other classes.
    Batch,
}

/// Limits of an entry, over all nodes together.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Limits {
    /// Minimum number of replicas that must serve.
    pub replicas_min: u32,
    /// Maximum number of replicas that the entry may hold, serving or not; standby and draining
    /// groups don't count.
    pub replicas_max: u32,
    /// Maximum number of requests in flight on one replica.
    pub concurrency: u32,
    /// Maximum number of waiting requests, over all nodes.
    pub queue: u32,
    /// Maximum length of a response, in tokens.
    pub max_tokens: u32,
    /// Maximum time for which a request may wait and run; written in milliseconds.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "deadline_ms")]
    pub timeout: Duration,
    /// Maximum time until the first byte of a response; written in milliseconds.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "first_byte_ms")]
    pub first_byte_timeout: Duration,
    /// Limits of a replica during its cold start.
    pub cold: ColdLimit,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            replicas_min: 1,
            replicas_max: 1,
            concurrency: 16,
            queue: 64,
            max_tokens: 4_096,
            timeout: Duration::from_secs(30),
            first_byte_timeout: Duration::from_secs(5),
            cold: ColdLimit::default(),
        }
    }
}

/// Limits of a replica during its cold start.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ColdLimit {
    /// Maximum number of requests in flight on the replica, from all nodes together.
    pub concurrency: u32,
}

impl Default for ColdLimit {
    fn default() -> Self {
        Self { concurrency: 1 }
    }
}

/// The kind of an entry, with the settings of that kind.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum EntryKind {
    /// A model, served by replica groups of VMs.
    Model(ModelEntry),
    /// A plain service, served by single VMs.
    Service(ServiceEntry),
}

/// Settings of a model.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ModelEntry {
    /// The name of the weights that the engines load.
    pub weights: String,
    /// The number of VMs of one replica group; at least 1.
    pub span: u16,
    /// Whether the model's engines refuse orders with an old epoch.
    #[serde(default)]
    pub fencing: Fencing,
}

/// Whether an engine refuses an order that carries an old epoch.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Default, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Fencing {
    /// The engine refuses such an order.
    Checked,
    /// The engine executes any order, whatever its epoch.
    #[default]
    Ignored,
}

/// Settings of a plain service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceEntry {
    /// Which requests may be repeated; the longest matching route applies.
    #[serde(default)]
    pub routes: Vec<Route>,
    /// Whether the service itself deduplicates requests by `Idempotency-Key`.
    #[serde(default)]
    pub deduplicates: bool,
}

/// Whether requests to one method and path prefix may be repeated.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Route {
    /// The HTTP method, or `*` for any.
    pub method: String,
    /// The path prefix within the service; starts with a slash.
    pub path: String,
    /// Whether a request may be sent to a backend server more than once.
    pub repeatable: bool,
}
