//! The TOML form of a catalogue.

use serde::Deserialize;

use crate::{
    Catalogue, CatalogueError, CatalogueVersion, DataCentre, Entry, Marks, Mistake, Organisation,
};

/// A catalogue document as operators write it, without version and marks.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Document {
    #[serde(default)]
    data_centres: Vec<DataCentre>,
    #[serde(default)]
    organisations: Vec<Organisation>,
    #[serde(default)]
    entries: Vec<Entry>,
}

impl Document {
    /// Reads and checks the document.
    pub(crate) fn parse(text: &str) -> Result<Self, CatalogueError> {
        toml::from_str(text).map_err(|error| CatalogueError {
            mistakes: vec![Mistake {
                path: "document".to_owned(),
                message: error.to_string(),
            }],
        })
    }

    /// Makes a catalogue with no version and no marks.
    pub(crate) fn into_catalogue(self) -> Catalogue {
        Catalogue {
            version: CatalogueVersion::default(),
            data_centres: self.data_centres,
            organisations: self.organisations,
            entries: self.entries,
            marks: Marks::default(),
        }
    }
}
