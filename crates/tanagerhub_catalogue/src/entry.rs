//! Catalogue entries: models and plain services.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, serde_as};

use crate::EntryId;

/// One thing that callers can call.
// Unknown fields are refused by the reader of documents: serde can't do so beside a flattened one.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Entry {
    /// The name that callers use.
    pub name: String,
    /// The team or organisation that answers for the entry.
    pub owner: String,
    /// How urgent its work is.
    pub class: Class,
    /// What it may use.
    #[serde(default)]
    pub limits: Limits,
    /// A model or a plain service.
    #[serde(flatten)]
    pub kind: EntryKind,
}

impl Entry {
    /// The entry's id.
    #[must_use]
    pub fn id(&self) -> EntryId {
        EntryId::of(&self.name)
    }

    /// The model's settings, when the entry is a model.
    #[must_use]
    pub const fn model(&self) -> Option<&ModelEntry> {
        match &self.kind {
            EntryKind::Model(model) => Some(model),
            EntryKind::Service(_) => None,
        }
    }

    /// The service's settings, when the entry is a plain service.
    #[must_use]
    pub const fn service(&self) -> Option<&ServiceEntry> {
        match &self.kind {
            EntryKind::Service(service) => Some(service),
            EntryKind::Model(_) => None,
        }
    }
}

/// How urgent an entry's work is; earlier variants go first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Class {
    /// Somebody waits for the answer.
    Interactive,
    /// Ordinary work.
    Standard,
    /// Work that yields to all other.
    Batch,
}

/// What an entry may use, over all nodes together.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Limits {
    /// The fewest replicas that must serve.
    pub replicas_min: u32,
    /// The most replicas that may be held.
    pub replicas_max: u32,
    /// Requests in flight on one replica.
    pub concurrency: u32,
    /// Requests that wait, over all nodes.
    pub queue: u32,
    /// The longest answer, in tokens.
    pub max_tokens: u32,
    /// How long a request may wait and run, in milliseconds.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "deadline_ms")]
    pub timeout: Duration,
    /// How long until the first byte of an answer, in milliseconds.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "first_byte_ms")]
    pub first_byte_timeout: Duration,
    /// What a replica in cold start can bear.
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

/// What a replica in cold start can bear.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ColdLimit {
    /// Requests in flight from all nodes together.
    pub concurrency: u32,
}

impl Default for ColdLimit {
    fn default() -> Self {
        Self { concurrency: 1 }
    }
}

/// The two kinds of entries.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum EntryKind {
    /// A model, served by groups of VMs.
    Model(ModelEntry),
    /// A plain service, served by single VMs.
    Service(ServiceEntry),
}

/// A model's settings.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ModelEntry {
    /// The weights to load.
    pub weights: String,
    /// The VMs that one replica spans.
    pub span: u16,
    /// Whether the engines refuse orders with an old epoch.
    #[serde(default)]
    pub fencing: Fencing,
}

/// Whether an engine refuses an order that carries an old epoch.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Default, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Fencing {
    /// The engine refuses it.
    Checked,
    /// The engine obeys any order.
    #[default]
    Ignored,
}

/// A plain service's settings.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceEntry {
    /// Which calls may be repeated; the longest matching route holds.
    #[serde(default)]
    pub routes: Vec<Route>,
    /// Whether the service itself removes duplicates by `Idempotency-Key`.
    #[serde(default)]
    pub deduplicates: bool,
}

/// Whether the calls of one route may be repeated.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Route {
    /// The HTTP method, or `*` for any.
    pub method: String,
    /// The start of the path below the service.
    pub path: String,
    /// Whether a call may be repeated.
    pub repeatable: bool,
}
