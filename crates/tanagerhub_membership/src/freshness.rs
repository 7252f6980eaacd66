//! Whether a node may take new work.

use std::time::Duration;

use serde::Serialize;
use serde_with::{DurationMilliSeconds, serde_as};
use tanagerhub_catalogue::CatalogueVersion;
use tanagerhub_clock::Moment;

/// Whether it is certain that no version newer than the held one has been accepted.
#[serde_as]
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(tag = "state", rename_all = "snake_case")]
pub enum Freshness {
    /// New work may be taken.
    Fresh {
        /// The held catalogue version.
        version: CatalogueVersion,
        /// What confirmed the version.
        by: Confirmer,
        /// An upper bound on the time since the confirmation, serialised in milliseconds.
        #[serde_as(as = "DurationMilliSeconds<u64>")]
        #[serde(rename = "age_ms")]
        age: Duration,
    },
    /// No new work may be taken.
    Stale {
        /// Since when, on this process's clock.
        since: Moment,
        /// Why no new work may be taken.
        reason: StaleReason,
    },
}

impl Freshness {
    /// Returns whether new work may be taken.
    #[must_use]
    pub const fn is_fresh(&self) -> bool {
        matches!(self, Self::Fresh { .. })
    }
}

/// What confirmed that no newer version was accepted.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Confirmer {
    /// The table, read by this node or by a peer.
    Store,
    /// A majority of the region's node slots.
    Majority,
}

/// Why a node's view is not fresh.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum StaleReason {
    /// The process has started and not adopted a version yet.
    Starting,
    /// The process was paused and has not checked its slot yet.
    Paused,
    /// A newer version exists, and this node does not hold its document yet.
    NewerVersion,
    /// Neither the store nor a majority has confirmed the version recently.
    Unconfirmed,
}
