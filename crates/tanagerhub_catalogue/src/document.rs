//! Reads and writes catalogues as TOML documents.

mod checks;
mod entry_table;
mod located_mistake;
mod section;
mod table_reader;

use std::fmt::Write as _;

use serde::Serialize;
use toml::Table;

use crate::document::section::read_section;
use crate::document::table_reader::TableReader;
use crate::{Catalogue, CatalogueVersion, DataCentre, Entry, Marks, Mistake, Organisation};

pub(crate) use located_mistake::{LocatedMistake, Place, Step};

/// A catalogue document as written by operators, without version and marks.
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
    /// Parses and validates the document, and returns all mistakes together.
    pub(crate) fn parse(text: &str) -> Result<Self, Vec<LocatedMistake>> {
        let table: Table = text
            .parse()
            .map_err(|error| vec![syntax_error(text, &error)])?;
        let mut mistakes = Vec::new();
        let mut reader = TableReader::new(String::new(), Vec::new(), table, &mut mistakes);
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
            Err(mistakes)
        }
    }

    /// Returns a catalogue with version zero and without marks.
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
    /// Returns the catalogue as a TOML document, without version and marks.
    ///
    /// # Errors
    ///
    /// Returns an error if a number can't be represented in TOML. A catalogue that was parsed never
    /// causes one.
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

/// Returns the mistake of a document that isn't valid TOML, with its line if known.
fn syntax_error(text: &str, error: &toml::de::Error) -> LocatedMistake {
    let mut path = "document".to_owned();
    let offset = error.span().map(|span| span.start);
    if let Some(offset) = offset {
        let line = text[..offset].matches('\n').count() + 1;
        write!(path, " line {line}").expect("writing to a string never fails");
    }
    let message = error.message().to_owned();
    LocatedMistake {
        mistake: Mistake { path, message },
        place: Place::Syntax(offset),
    }
}
