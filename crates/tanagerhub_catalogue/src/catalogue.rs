//! The catalogue with its version, and look-ups in it.

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::document::Document;
use crate::{
    CatalogueError, DataCentreId, Entry, EntryId, KeyHash, Marks, Organisation, OrganisationId, Vm,
};

/// The version of a catalogue; it only increases.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct CatalogueVersion(pub u64);

impl CatalogueVersion {
    /// Returns the version of the next catalogue that is applied.
    #[must_use]
    pub const fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

impl fmt::Display for CatalogueVersion {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// A data centre that hosts VMs.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DataCentre {
    /// The name by which VMs and marks refer to the data centre.
    pub name: String,
    /// The region in which the data centre is located.
    pub region: String,
}

/// The name of a region.
pub type Region = String;

/// The configuration that operators apply: entries, organisations, data centres and marks, at one
/// version.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Catalogue {
    /// The version; zero before the first catalogue is applied.
    pub version: CatalogueVersion,
    /// Data centres in the document's order.
    pub data_centres: Vec<DataCentre>,
    /// Organisations in the document's order.
    pub organisations: Vec<Organisation>,
    /// Entries in the document's order.
    pub entries: Vec<Entry>,
    /// VMs and data centres that are out of service.
    pub marks: Marks,
}

impl Catalogue {
    /// Parses and validates a TOML document.
    ///
    /// # Errors
    ///
    /// Returns every mistake in the document, each with its path.
    pub fn parse(text: &str) -> Result<Self, CatalogueError> {
        let document = Document::parse(text).map_err(|mistakes| CatalogueError {
            mistakes: mistakes.into_iter().map(|found| found.mistake).collect(),
        })?;
        Ok(document.into_catalogue())
    }

    /// Returns the entry with this id.
    #[must_use]
    pub fn entry(&self, id: EntryId) -> Option<&Entry> {
        self.entries.iter().find(|entry| entry.id() == id)
    }

    /// Returns the organisation with this id.
    #[must_use]
    pub fn organisation(&self, id: OrganisationId) -> Option<&Organisation> {
        self.organisations
            .iter()
            .find(|organisation| organisation.id() == id)
    }

    /// Returns the organisation that holds a key with this hash.
    ///
    /// Hashes are compared in constant time.
    #[must_use]
    pub fn organisation_by_key(&self, key: &KeyHash) -> Option<&Organisation> {
        let has_key = |organisation: &&Organisation| {
            organisation
                .keys
                .iter()
                .fold(false, |found, hash| found | hash.matches(key))
        };
        self.organisations.iter().find(has_key)
    }

    /// Returns whether this data centre is in service: operators have not marked it as out.
    #[must_use]
    pub fn is_data_centre_in_service(&self, id: DataCentreId) -> bool {
        !self
            .marks
            .data_centres_out
            .iter()
            .any(|name| DataCentreId::of(name) == id)
    }

    /// Returns whether neither this VM nor its data centre is marked as out of service.
    #[must_use]
    pub fn is_vm_in_service(&self, vm: &Vm) -> bool {
        !self.marks.vms_out.contains(&vm.name)
            && !self.marks.data_centres_out.contains(&vm.data_centre)
    }
}
