//! The order of what a store returns, also across its return from an older copy.

use serde::{Deserialize, Serialize};

use crate::RowVersion;

/// The number of a store's history.
///
/// A store that returns from an older copy begins a new era: what it acknowledged after the copy is
/// lost, and versions are given out again.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct StoreEra(pub u64);

/// A version of a store's rows, in order with the versions of other eras.
///
/// Versions of the same number in two eras have nothing in common. The era is `None` at a store
/// that names none.
///
/// # Examples
///
/// ```
/// use tanagerhub_table::{RowVersion, StoreEra, StoreVersion};
///
/// let before = StoreVersion::new(Some(StoreEra(1)), RowVersion(90));
/// let after = StoreVersion::new(Some(StoreEra(2)), RowVersion(70));
/// assert!(after > before, "the store returned from a copy");
/// assert_ne!(before, StoreVersion::new(Some(StoreEra(2)), RowVersion(90)));
/// ```
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct StoreVersion {
    /// The era of the store.
    pub era: Option<StoreEra>,
    /// The version within the era.
    pub version: RowVersion,
}

impl StoreVersion {
    /// Returns a version of an era.
    #[must_use]
    pub const fn new(era: Option<StoreEra>, version: RowVersion) -> Self {
        Self { era, version }
    }
}

/// The result of a call to a store, with the era that the response names.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StoreAnswer<T> {
    /// The result of the call.
    pub result: T,
    /// `None` if there was no response, or if it names no era.
    pub era: Option<StoreEra>,
}

impl<T> StoreAnswer<T> {
    /// Returns the answer of a store that names this era.
    pub const fn new(result: T, era: Option<StoreEra>) -> Self {
        Self { result, era }
    }
}

impl<T> From<T> for StoreAnswer<T> {
    /// Returns the answer of a call without a response, or of a store that names no era.
    fn from(result: T) -> Self {
        Self::new(result, None)
    }
}
