//! The sets of backend servers that have a coordinator of their own.

use std::fmt;

use serde::{Deserialize, Serialize, Serializer};
use tanagerhub_catalogue::{DataCentreId, EntryId};

/// A set of backend servers whose starts one coordinator grants.
///
/// # Examples
///
/// ```
/// use tanagerhub_capacity::Shard;
/// use tanagerhub_catalogue::{DataCentreId, EntryId};
///
/// assert_eq!(Shard::from(DataCentreId(10)).to_string(), "000000000000000a");
/// assert_eq!(Shard::Entry(EntryId(10)).to_string(), "entry-000000000000000a");
/// ```
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Shard {
    /// The backend servers of a data centre, except those of pooled entries.
    DataCentre(DataCentreId),
    /// All backend servers of a pooled entry in the region.
    Entry(EntryId),
}

impl Shard {
    /// Returns the number by which the shard's order of nodes differs from that of other shards.
    #[must_use]
    pub const fn seed(self) -> u64 {
        match self {
            Self::DataCentre(id) => id.0,
            Self::Entry(id) => id.0,
        }
    }
}

impl From<DataCentreId> for Shard {
    fn from(id: DataCentreId) -> Self {
        Self::DataCentre(id)
    }
}

impl fmt::Display for Shard {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::DataCentre(id) => write!(f, "{id}"),
            Self::Entry(id) => write!(f, "entry-{id}"),
        }
    }
}

/// Serialises a shard of the state dump as its text.
pub(crate) fn as_text<S: Serializer>(shard: &Shard, serializer: S) -> Result<S::Ok, S::Error> {
    serializer.collect_str(shard)
}
