//! The catalogue aggregate.

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::document::Document;
use crate::{
    CatalogueError, DataCentreId, Entry, EntryId, KeyHash, Marks, Organisation, OrganisationId, Vm,
};

/// The version of a catalogue; it only rises.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct CatalogueVersion(pub u64);

impl CatalogueVersion {
    /// The version that follows this one.
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

/// A data centre with VMs.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DataCentre {
    /// The data centre's name.
    pub name: String,
    /// The name of its region.
    pub region: String,
}

/// The name of a region.
pub type Region = String;

/// What operators want: entries, organisations, data centres and marks, at one version.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Catalogue {
    /// The version; zero before the first is applied.
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
    /// Reads and checks a TOML document.
    ///
    /// # Errors
    ///
    /// Returns every mistake in the document, each with its place.
    pub fn parse(text: &str) -> Result<Self, CatalogueError> {
        Document::parse(text).map(Document::into_catalogue)
    }

    /// The entry with this id.
    #[must_use]
    pub fn entry(&self, id: EntryId) -> Option<&Entry> {
        self.entries.iter().find(|entry| entry.id() == id)
    }

    /// The organisation with this id.
    #[must_use]
    pub fn organisation(&self, id: OrganisationId) -> Option<&Organisation> {
        self.organisations
            .iter()
            .find(|organisation| organisation.id() == id)
    }

    /// The organisation that holds a key with this hash.
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

    /// Whether operators keep this data centre in service.
    #[must_use]
    pub fn is_data_centre_in_service(&self, id: DataCentreId) -> bool {
        !self
            .marks
            .data_centres_out
            .iter()
            .any(|name| DataCentreId::of(name) == id)
    }

    /// Whether operators keep this VM and its data centre in service.
    #[must_use]
    pub fn is_vm_in_service(&self, vm: &Vm) -> bool {
        !self.marks.vms_out.contains(&vm.name)
            && !self.marks.data_centres_out.contains(&vm.data_centre)
    }
}
