//! The demand that coordinators report for the entries of models.

use serde::Serialize;
use tanagerhub_catalogue::{DataCentreId, EntryId};

/// The demand of the coordinated entries, as this node's shards report it.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Demand {
    /// The data centres whose groups it covers; `None` for all.
    pub centres: Option<Vec<DataCentreId>>,
    /// The entries.
    pub entries: Vec<EntryDemand>,
}

/// The demand of one entry.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
pub struct EntryDemand {
    /// The catalogue entry.
    pub entry: EntryId,
    /// Asks of the last 3 s that a group could have served.
    pub asks: u32,
    /// Those of them that were overdue, or were refused for want of capacity.
    pub missed: u32,
    /// Requests at the entry's groups.
    pub running: u32,
    /// The sum of the groups' limits, in requests.
    pub limit: u32,
}
