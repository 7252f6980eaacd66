//! What is known of an operator's change.

use serde::{Deserialize, Serialize};
use tanagerhub_catalogue::{CatalogueVersion, NodeId};

/// The answer to an operator's change.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "state", rename_all = "snake_case")]
pub enum ApplyOutcome {
    /// No node takes work under an older version any more.
    InForce {
        /// The version.
        version: CatalogueVersion,
        /// Nodes that have not got it; they take no work until they have.
        stopped: Vec<NodeId>,
    },
    /// Committed, but some region has not accepted it in time; it will spread.
    Committed {
        /// The version.
        version: CatalogueVersion,
        /// Nodes that have not got it and may still work under an older version.
        missing: Vec<NodeId>,
    },
    /// Another operator's change came first; nothing was changed.
    LostRace {
        /// The newest version.
        winner: CatalogueVersion,
    },
    /// Nothing was changed.
    NotCommitted {
        /// Why.
        reason: String,
    },
    /// The answer of the table was lost and it can't be read; the change may take effect.
    Unknown {
        /// The version it has if it takes effect.
        version: CatalogueVersion,
    },
}
