//! How a new process learns the version it must not fall behind.

use std::collections::BTreeMap;

use tanagerhub_catalogue::{CatalogueVersion, NodeId};

use crate::majority;

/// Answers of other slots, collected by a process that starts without the store.
///
/// The process takes the highest version among `majority(slots)` of the *other* slots. One fewer
/// is not enough: an accepted version may then be held by none of those asked.
///
/// # Examples
///
/// ```
/// use tanagerhub_catalogue::{CatalogueVersion, NodeId};
/// use tanagerhub_membership::Adoption;
///
/// let mut adoption = Adoption::new(3);
/// adoption.answered(NodeId(2), CatalogueVersion(7));
/// assert_eq!(adoption.highest(), None);
/// adoption.answered(NodeId(3), CatalogueVersion(6));
/// assert_eq!(adoption.highest(), Some(CatalogueVersion(7)));
/// ```
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Adoption {
    needed: usize,
    answers: BTreeMap<NodeId, CatalogueVersion>,
}

impl Adoption {
    /// Starts to collect answers in a region of `slots` slots, the own one included.
    #[must_use]
    pub const fn new(slots: usize) -> Self {
        Self::needing(majority(slots))
    }

    /// Starts to collect `needed` answers.
    #[must_use]
    pub const fn needing(needed: usize) -> Self {
        Self {
            needed,
            answers: BTreeMap::new(),
        }
    }

    /// Takes in the version that another slot holds.
    pub fn answered(&mut self, node: NodeId, version: CatalogueVersion) {
        let known = self.answers.entry(node).or_default();
        *known = version.max(*known);
    }

    /// How many answers are still missing.
    #[must_use]
    pub fn missing(&self) -> usize {
        self.needed.saturating_sub(self.answers.len())
    }

    /// The version to adopt, once enough slots have answered.
    #[must_use]
    pub fn highest(&self) -> Option<CatalogueVersion> {
        let highest = self.answers.values().max().copied();
        highest.filter(|_| self.missing() == 0)
    }
}
