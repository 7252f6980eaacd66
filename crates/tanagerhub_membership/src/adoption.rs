//! How a new process finds the oldest version that it may adopt.

use std::collections::BTreeMap;

use tanagerhub_catalogue::{CatalogueVersion, NodeId};

use crate::majority;

/// Versions of other slots, collected by a process that starts without the store.
///
/// The process adopts the highest version among `majority(slots)` of the *other* slots. One fewer
/// is not enough: it is then possible that none of those slots holds an accepted version.
///
/// # Examples
///
/// ```
/// use tanagerhub_catalogue::{CatalogueVersion, NodeId};
/// use tanagerhub_membership::Adoption;
///
/// let mut adoption = Adoption::new(3);
/// adoption.record(NodeId(2), CatalogueVersion(7));
/// assert_eq!(adoption.highest(), None);
/// adoption.record(NodeId(3), CatalogueVersion(6));
/// assert_eq!(adoption.highest(), Some(CatalogueVersion(7)));
/// ```
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Adoption {
    required: usize,
    versions: BTreeMap<NodeId, CatalogueVersion>,
}

impl Adoption {
    /// Starts to collect responses in a region of `slots` slots, including this process's own.
    #[must_use]
    pub const fn new(slots: usize) -> Self {
        Self::with_required(majority(slots))
    }

    /// Starts to collect `required` responses.
    #[must_use]
    pub const fn with_required(required: usize) -> Self {
        Self {
            required,
            versions: BTreeMap::new(),
        }
    }

    /// Records the version that another slot holds.
    pub fn record(&mut self, node: NodeId, version: CatalogueVersion) {
        let known = self.versions.entry(node).or_default();
        *known = version.max(*known);
    }

    /// Returns how many responses are still missing.
    #[must_use]
    pub fn missing(&self) -> usize {
        self.required.saturating_sub(self.versions.len())
    }

    /// Returns the version to adopt, once enough slots have responded.
    #[must_use]
    pub fn highest(&self) -> Option<CatalogueVersion> {
        let highest = self.versions.values().max().copied();
        highest.filter(|_| self.missing() == 0)
    }
}
