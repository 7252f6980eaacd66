//! The decoded configuration of a gateway.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use tanagerhub_catalogue::{Catalogue, EntryId, Ingress, KeyHash};
use tanagerhub_groups::EngineSpec;
use tanagerhub_proxy::ServerLimits;

/// The configuration that operators write to the store, decoded.
#[derive(Debug, Clone)]
pub struct Configuration {
    /// The version; a configuration with a version that is not newer is ignored.
    pub version: u64,
    /// The catalogue of entries and organisations.
    pub catalogue: Arc<Catalogue>,
    /// The routes by host and path.
    pub ingress: Ingress,
    /// The engines, one for each service that has models.
    pub engines: Vec<EngineSpec>,
    /// The maximum number of requests per second that all nodes together may start at one backend
    /// server of an entry.
    ///
    /// A backend server may turn cold at any moment, so the limit of a cold one always applies.
    pub start_limits: HashMap<EntryId, u32>,
    /// The tokens for which a group of each model has memory, where the platform tells.
    pub memory_tokens: HashMap<EntryId, u64>,
    /// The time in which a group of each model reads a prompt token, where the platform tells.
    pub token_read_times: HashMap<EntryId, Duration>,
    /// The holder of each key; `None` if callers need no key. An empty map accepts no key.
    pub keys: Option<HashMap<KeyHash, KeyHolder>>,
    /// The limits of callers' connections.
    pub limits: ServerLimits,
    /// The maximum size of a request body in bytes.
    pub max_body_bytes: usize,
}

/// The organisation that holds a key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct KeyHolder {
    /// The name of the organisation.
    pub organisation: Arc<str>,
    /// The priority of its requests, where 0 is the highest; `None` uses the route's priority.
    pub priority: Option<u8>,
}

impl Configuration {
    /// Returns the entry of a request, or `None` if the service has no such model.
    #[must_use]
    pub fn entry(&self, service: &str, model: Option<&str>) -> Option<EntryId> {
        let engine = self.engines.iter().find(|engine| engine.service == service);
        match engine {
            Some(engine) => engine.model(model?).map(|model| model.entry),
            None => Some(EntryId::of(service)),
        }
    }
}
