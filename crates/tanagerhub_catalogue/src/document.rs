//! The TOML form of a catalogue.

mod checks;
mod entry_table;
mod section;
mod table_reader;

use std::fmt::Write as _;

use serde::Serialize;
use toml::Table;

use crate::document::section::read_section;
use crate::document::table_reader::TableReader;
use crate::{
    Catalogue, CatalogueError, CatalogueVersion, DataCentre, Entry, Marks, Mistake, Organisation,
};

/// A catalogue document as operators write it, without version and marks.
#[derive(Debug)]
pub(crate) struct Document {
    data_centres: Vec<DataCentre>,
    organisations: Vec<Organisation>,
    entries: Vec<Entry>,
}

#[derive(Serialize)]
struct SerializedDocument<'a> {
    data_centres: &'a [DataCentre],
    organisations: &'a [Organisation],
    entries: &'a [Entry],
}

impl Document {
    /// Reads and checks the document; gathers all mistakes.
    pub(crate) fn parse(text: &str) -> Result<Self, CatalogueError> {
        let table: Table = text.parse().map_err(|error| syntax_error(text, &error))?;
        let mut mistakes = Vec::new();
        let mut reader = TableReader::new(String::new(), table, &mut mistakes);
        let data_centres = reader.tables("data_centres");
        let organisations = reader.tables("organisations");
        let entries = reader.tables("entries");
        reader.finish();
        let document = Self {
            data_centres: read_section("data_centres", data_centres, &mut mistakes),
            organisations: read_section("organisations", organisations, &mut mistakes),
            entries: read_section("entries", entries, &mut mistakes),
        };
        checks::check_keys(&document.organisations, &mut mistakes);
        if mistakes.is_empty() {
            Ok(document)
        } else {
            Err(CatalogueError { mistakes })
        }
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

impl Catalogue {
    /// Writes the catalogue as a TOML document, without version and marks.
    ///
    /// # Errors
    ///
    /// Fails when a number has no form in TOML; a catalogue that was parsed never fails.
    ///
    /// # Examples
    ///
    /// ```
    /// use tanagerhub_catalogue::Catalogue;
    ///
    /// let text = "[[data_centres]]\nname = \"tbs-a\"\nregion = \"tbilisi\"\n";
    /// let catalogue = Catalogue::parse(text)?;
    /// assert!(catalogue.to_document().unwrap().contains(text));
    /// # Ok::<(), tanagerhub_catalogue::CatalogueError>(())
    /// ```
    pub fn to_document(&self) -> Result<String, toml::ser::Error> {
        toml::to_string(&SerializedDocument {
            data_centres: &self.data_centres,
            organisations: &self.organisations,
            entries: &self.entries,
        })
    }
}

/// A document that isn't TOML has one mistake, at its line.
fn syntax_error(text: &str, error: &toml::de::Error) -> CatalogueError {
    let mut path = "document".to_owned();
    if let Some(span) = error.span() {
        let line = text[..span.start].lines().count().max(1);
        write!(path, " line {line}").expect("strings take any text");
    }
    let message = error.message().to_owned();
    CatalogueError {
        mistakes: vec![Mistake { path, message }],
    }
}
