//! Differences between two catalogues.

use std::collections::BTreeMap;
use std::fmt;

use serde::Serialize;
use serde_json::Value;

use crate::Catalogue;

/// The differences between two catalogues, ignoring version and marks.
///
/// # Examples
///
/// ```
/// use tanagerhub_catalogue::{Catalogue, CatalogueDiff};
///
/// let new = "[[data_centres]]\nname = \"tbs-a\"\nregion = \"tbilisi\"\n";
/// let new = Catalogue::parse(new)?;
/// let diff = CatalogueDiff::between(&Catalogue::default(), &new);
/// assert_eq!(diff.to_string(), "+ data_centres.tbs-a\n");
/// # Ok::<(), tanagerhub_catalogue::CatalogueError>(())
/// ```
#[derive(Debug, Clone, PartialEq, Default, Serialize)]
pub struct CatalogueDiff {
    /// The changes: data centres, then organisations, then entries.
    pub changes: Vec<Change>,
}

/// One difference between two catalogues.
#[derive(Debug, Clone, PartialEq, Serialize)]
#[serde(tag = "change", rename_all = "snake_case")]
pub enum Change {
    /// An item that only the new catalogue has.
    Added {
        /// Section and name of the item, such as `entries.advisor`.
        path: String,
    },
    /// An item that only the old catalogue has.
    Removed {
        /// Section and name of the item, such as `entries.advisor`.
        path: String,
    },
    /// A field whose value differs; a missing field counts as null.
    Changed {
        /// The path of the field, such as `entries.advisor.limits.concurrency`.
        path: String,
        /// The value in the old catalogue.
        old: Value,
        /// The value in the new catalogue.
        new: Value,
    },
}

impl CatalogueDiff {
    /// Returns the changes that lead from `old` to `new`. Items are matched by name.
    ///
    /// # Panics
    ///
    /// Never: catalogues contain only data that can be represented as JSON.
    #[must_use]
    pub fn between(old: &Catalogue, new: &Catalogue) -> Self {
        let mut diff = Self::default();
        let data_centre_name = |data_centre: &crate::DataCentre| data_centre.name.clone();
        let organisation_name = |organisation: &crate::Organisation| organisation.name.clone();
        let entry_name = |entry: &crate::Entry| entry.name.clone();
        diff.compare_sections(
            "data_centres",
            &old.data_centres,
            &new.data_centres,
            data_centre_name,
        );
        let (before, after) = (&old.organisations, &new.organisations);
        diff.compare_sections("organisations", before, after, organisation_name);
        diff.compare_sections("entries", &old.entries, &new.entries, entry_name);
        diff
    }

    /// Returns whether the catalogues are equal, apart from version, marks and order of items.
    #[must_use]
    pub const fn is_empty(&self) -> bool {
        self.changes.is_empty()
    }

    fn compare_sections<T: Serialize + PartialEq>(
        &mut self,
        section: &str,
        old: &[T],
        new: &[T],
        name: impl Fn(&T) -> String,
    ) {
        let old = by_name(old, &name);
        let new = by_name(new, &name);
        for (name, item) in &old {
            let path = format!("{section}.{name}");
            match new.get(name) {
                Some(other) if item == other => {}
                Some(other) => self.compare_values(path, &to_json(*item), &to_json(*other)),
                None => self.changes.push(Change::Removed { path }),
            }
        }
        let added = new.keys().filter(|name| !old.contains_key(*name));
        self.changes.extend(added.map(|name| Change::Added {
            path: format!("{section}.{name}"),
        }));
    }

    fn compare_values(&mut self, path: String, old: &Value, new: &Value) {
        match (old, new) {
            (Value::Object(before), Value::Object(after)) => {
                let null = Value::Null;
                let mut fields: Vec<_> = before.keys().chain(after.keys()).collect();
                fields.sort_unstable();
                fields.dedup();
                for field in fields {
                    let old = before.get(field).unwrap_or(&null);
                    let new = after.get(field).unwrap_or(&null);
                    self.compare_values(format!("{path}.{field}"), old, new);
                }
            }
            _ if old == new => {}
            _ => self.changes.push(Change::Changed {
                path,
                old: old.clone(),
                new: new.clone(),
            }),
        }
    }
}

fn by_name<T>(items: &[T], name: impl Fn(&T) -> String) -> BTreeMap<String, &T> {
    items.iter().map(|item| (name(item), item)).collect()
}

fn to_json<T: Serialize>(item: &T) -> Value {
    serde_json::to_value(item).expect("a catalogue item can be represented as JSON")
}

impl fmt::Display for CatalogueDiff {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.changes
            .iter()
            .try_for_each(|change| writeln!(f, "{change}"))
    }
}

impl fmt::Display for Change {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Added { path } => write!(f, "+ {path}"),
            Self::Removed { path } => write!(f, "- {path}"),
            Self::Changed { path, old, new } => write!(f, "~ {path}: {old} -> {new}"),
        }
    }
}
