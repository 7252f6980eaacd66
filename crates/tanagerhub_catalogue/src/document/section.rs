//! Sections of a document: arrays of tables with unique names.

use std::collections::{HashMap, HashSet};

use toml::Table;

use crate::document::checks::NAME_RULE;
use crate::document::checks::is_name;
use crate::document::located_mistake::{LocatedMistake, Place, Step};
use crate::document::table_reader::TableReader;
use crate::{
    DataCentre, DataCentreId, EntryId, KeyHash, Mistake, Organisation, OrganisationId,
    OrganisationLimits, PerSecond,
};

/// An item of a section, identified by its name.
pub(crate) trait Named: Sized {
    /// Returns the id that is computed from the name.
    fn id_of(name: &str) -> u64;

    /// Reads one item; returns `None` if a mistake leaves a field without a value.
    fn read(reader: TableReader<'_>) -> Option<Self>;
}

/// Reads all items of a section, and records a mistake for each name or id that occurs twice.
pub(crate) fn read_section<T: Named>(
    section: &str,
    tables: Vec<Table>,
    mistakes: &mut Vec<LocatedMistake>,
) -> Vec<T> {
    let mut names = HashSet::new();
    let mut ids = HashMap::new();
    let mut items = Vec::with_capacity(tables.len());
    for (index, table) in tables.into_iter().enumerate() {
        let name = table.get("name").and_then(|name| name.as_str());
        let name = name.map(str::to_owned).filter(|name| is_name(name));
        let path = path_of(section, index, name.as_deref());
        let steps = vec![Step::Field(section.to_owned()), Step::Element(index)];
        if let Some(name) = name {
            let duplicate = (!names.insert(name.clone())).then(|| "stands twice".to_owned());
            let other = ids.insert(T::id_of(&name), name.clone());
            let collision = other.filter(|other| *other != name);
            let collision =
                collision.map(|other| format!("has the same id as \"{other}\", rename one"));
            mistakes.extend(duplicate.or(collision).map(|message| LocatedMistake {
                mistake: Mistake {
                    path: path.clone(),
                    message,
                },
                place: Place::Value(steps.clone()),
            }));
        }
        items.extend(T::read(TableReader::new(path, steps, table, mistakes)));
    }
    items
}

/// Returns the path of an item: by its name if that is valid, otherwise by its index.
fn path_of(section: &str, index: usize, name: Option<&str>) -> String {
    match name {
        Some(name) => format!("{section}.{name}"),
        None => format!("{section}[{index}]"),
    }
}

/// Reads the field `name`, and records a mistake if it is not a valid name.
pub(crate) fn read_name(reader: &mut TableReader<'_>) -> Option<String> {
    let name: String = reader.required("name")?;
    reader.check(is_name(&name), "name", format!("\"{name}\" {NAME_RULE}"));
    Some(name)
}

impl Named for DataCentre {
    fn id_of(name: &str) -> u64 {
        DataCentreId::of(name).0
    }

    fn read(mut reader: TableReader<'_>) -> Option<Self> {
        let name = read_name(&mut reader);
        let region: Option<String> = reader.required("region");
        if let Some(region) = &region {
            reader.check(
                is_name(region),
                "region",
                format!("\"{region}\" {NAME_RULE}"),
            );
        }
        reader.finish();
        Some(Self {
            name: name?,
            region: region?,
        })
    }
}

impl Named for Organisation {
    fn id_of(name: &str) -> u64 {
        OrganisationId::of(name).0
    }

    fn read(mut reader: TableReader<'_>) -> Option<Self> {
        let name = read_name(&mut reader);
        let weight = reader.optional_or("weight", 1);
        reader.check(weight > 0, "weight", "must be at least 1");
        let keys = read_keys(&mut reader);
        let limits = read_limits(reader.subtable("limits"));
        reader.finish();
        Some(Self {
            name: name?,
            weight,
            keys,
            limits,
        })
    }
}

impl Named for crate::Entry {
    fn id_of(name: &str) -> u64 {
        EntryId::of(name).0
    }

    fn read(reader: TableReader<'_>) -> Option<Self> {
        crate::document::entry_table::read_entry(reader)
    }
}

fn read_keys(reader: &mut TableReader<'_>) -> Vec<KeyHash> {
    let texts: Vec<String> = reader.optional_or("keys", Vec::new());
    let mut keys = Vec::with_capacity(texts.len());
    for (index, text) in texts.into_iter().enumerate() {
        match toml::Value::String(text).try_into() {
            Ok(key) => keys.push(key),
            Err(_) => reader.record_mistake(
                &format!("keys[{index}]"),
                "must be the SHA-256 hash of a key, as 64 hex digits",
            ),
        }
    }
    keys
}

fn read_limits(mut reader: TableReader<'_>) -> OrganisationLimits {
    let limits = OrganisationLimits {
        requests: read_rate(&mut reader, "requests"),
        tokens: read_rate(&mut reader, "tokens"),
        concurrency: reader.optional("concurrency"),
    };
    reader.check(
        limits.concurrency != Some(0),
        "concurrency",
        "must be at least 1",
    );
    reader.finish();
    limits
}

fn read_rate(reader: &mut TableReader<'_>, key: &str) -> Option<PerSecond> {
    let rate: Option<PerSecond> = reader.optional(key);
    let valid = rate.is_none_or(|rate| rate.0.is_finite() && rate.0 > 0.0);
    reader.check(valid, key, "must be a finite number above 0");
    rate
}
