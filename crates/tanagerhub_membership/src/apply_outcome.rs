//! The outcome of an operator's change.

use serde::{Deserialize, Serialize};
use tanagerhub_catalogue::{CatalogueVersion, NodeId};

/// The outcome of an operator's change, as reported to the operator.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "state", rename_all = "snake_case")]
pub enum ApplyOutcome {
    /// No node takes work under an older version any more.
    InForce {
        /// The version of the change.
        version: CatalogueVersion,
        /// Nodes that have not received the version; they take no work until they have.
        stopped: Vec<NodeId>,
    },
    /// Committed, but some region has not accepted it in time; it will still be propagated.
    Committed {
        /// The version of the change.
        version: CatalogueVersion,
        /// Nodes that have not received the version and may still work under an older one.
        missing: Vec<NodeId>,
    },
    /// Another operator's change came first; nothing was changed.
    LostRace {
        /// The newest version.
        winner: CatalogueVersion,
    },
    /// Nothing was changed.
    NotCommitted {
        /// Why the change was not committed.
        reason: String,
    },
    /// The table's response was lost and the table can't be read; the change may take effect.
    Unknown {
        /// The version of the change if it takes effect.
        version: CatalogueVersion,
    },
}
