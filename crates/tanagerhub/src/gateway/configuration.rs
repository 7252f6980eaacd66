//! The configuration in force.

use std::collections::HashMap;
use std::sync::Arc;

use tanagerhub_catalogue::{Catalogue, EntryId, Ingress, KeyHash};
use tanagerhub_groups::EngineSpec;
use tanagerhub_proxy::ServerLimits;

/// The configuration that operators wrote, decoded.
#[derive(Debug, Clone)]
pub struct Configuration {
    /// Its version; only rises.
    pub version: u64,
    /// Entries and organisations.
    pub catalogue: Arc<Catalogue>,
    /// Routes by host and path.
    pub ingress: Ingress,
    /// Engines, by service.
    pub engines: Vec<EngineSpec>,
    /// Requests that a back end of an entry may get in any second from all nodes together.
    ///
    /// A back end may turn cold at any moment, so the limit of a cold one always holds.
    pub start_limits: HashMap<EntryId, u32>,
    /// Who holds each key; empty where callers need none.
    pub keys: HashMap<KeyHash, KeyHolder>,
    /// What callers' connections may do.
    pub limits: ServerLimits,
    /// The most bytes of a request's body.
    pub max_body_bytes: usize,
}

/// The organisation that holds a key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct KeyHolder {
    /// Its name.
    pub organisation: Arc<str>,
    /// The rank of its requests, which goes before the route's; 0 is the highest.
    pub priority: Option<u8>,
}

impl Configuration {
    /// The entry that a request belongs to; `None` when the service has no such model.
    #[must_use]
    pub fn entry(&self, service: &str, model: Option<&str>) -> Option<EntryId> {
        let engine = self.engines.iter().find(|engine| engine.service == service);
        match engine {
            Some(engine) => engine.model(model?).map(|model| model.entry),
            None => Some(EntryId::of(service)),
        }
    }
}
