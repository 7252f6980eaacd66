//! Whether a node may take new work.

use std::time::Duration;

use serde::Serialize;
use serde_with::{DurationMilliSeconds, serde_as};
use tanagerhub_catalogue::CatalogueVersion;
use tanagerhub_clock::Moment;

/// Whether the held catalogue version is surely not behind an accepted one.
#[serde_as]
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(tag = "state", rename_all = "snake_case")]
pub enum Freshness {
    /// New work may be taken.
    Fresh {
        /// The version.
        version: CatalogueVersion,
        /// Who confirmed it.
        by: Confirmer,
        /// How long ago, at most, in milliseconds.
        #[serde_as(as = "DurationMilliSeconds<u64>")]
        #[serde(rename = "age_ms")]
        age: Duration,
    },
    /// No new work may be taken.
    Stale {
        /// Since when, on the process's clock.
        since: Moment,
        /// Why.
        reason: StaleReason,
    },
}

impl Freshness {
    /// Whether new work may be taken.
    #[must_use]
    pub const fn is_fresh(&self) -> bool {
        matches!(self, Self::Fresh { .. })
    }
}

/// Who confirmed that no newer version was accepted.
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
    /// It started and has not adopted a version yet.
    Starting,
    /// It was paused and has not checked its slot yet.
    Paused,
    /// A newer version exists whose document is not here yet.
    NewerVersion,
    /// Neither the store nor a majority confirmed the version of late.
    Unconfirmed,
}
