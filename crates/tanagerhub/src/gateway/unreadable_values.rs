//! Counts the values of other processes that this node can't decode, and logs the first of each kind.

use std::collections::BTreeSet;
use std::fmt::Display;
use std::sync::{Arc, Mutex, PoisonError};

use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::registry::Registry;

/// The counts of undecodable values; clones share them.
#[derive(Debug, Clone, Default)]
pub(crate) struct UnreadableValues {
    counts: Family<Kind, Counter>,
    logged: Arc<Mutex<BTreeSet<&'static str>>>,
}

#[derive(Debug, Clone, Hash, PartialEq, Eq, EncodeLabelSet)]
struct Kind {
    kind: &'static str,
}

impl UnreadableValues {
    pub(crate) fn register(&self, registry: &mut Registry) {
        let help = "Values of other processes that can't be decoded, by kind";
        registry.register("unreadable_values", help, self.counts.clone());
    }

    /// Counts a value. Only the first one of each kind is logged, since a node of another build may
    /// send them for days.
    pub(crate) fn record(&self, kind: &'static str, error: &dyn Display) {
        self.counts.get_or_create(&Kind { kind }).inc();
        let mut logged = self.logged.lock().unwrap_or_else(PoisonError::into_inner);
        if logged.insert(kind) {
            log::warn!(kind, error:%; "a value can't be decoded; later ones of this kind are only counted");
        }
    }
}
