//! Differences between a document and the catalogue in force, with their effects.

use std::collections::HashMap;
use std::fmt;

use serde::{Serialize, Serializer};

use super::source::{Item, Source};
use crate::{Catalogue, CatalogueDiff, Change, Effect, Organisation, Position};

/// A change that a document makes to the catalogue in force.
#[derive(Debug, Clone, PartialEq)]
pub struct Difference {
    /// The change.
    pub change: Change,
    /// The position of the item or field in the document; `None` if the document drops it.
    pub position: Option<Position>,
    /// What the change does to callers and replicas.
    pub effect: Effect,
}

#[derive(Serialize)]
struct SerializedDifference<'a> {
    #[serde(flatten)]
    change: &'a Change,
    line: Option<usize>,
    column: Option<usize>,
    message: String,
    effect: &'a Effect,
}

impl Serialize for Difference {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        let difference = SerializedDifference {
            change: &self.change,
            line: self.position.map(|position| position.line),
            column: self.position.map(|position| position.column),
            message: self.effect.to_string(),
            effect: &self.effect,
        };
        difference.serialize(serializer)
    }
}

impl fmt::Display for Difference {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match (&self.change, &self.effect) {
            // The old and new values of these are long lists; their effects name what differs.
            (
                Change::Changed { path, .. },
                Effect::KeysChanged { .. } | Effect::RoutesChanged { .. },
            ) => write!(f, "~ {path}: {}", self.effect),
            (change, effect) => write!(f, "{change}: {effect}"),
        }
    }
}

/// The fields in which two items of the same name can differ. Names can contain dots, but a path
/// has at most one of these fields at its end, since none ends with a dot and another one of them.
const FIELDS: [&str; 21] = [
    "region",
    "weight",
    "keys",
    "owner",
    "class",
    "kind",
    "weights",
    "span",
    "fencing",
    "routes",
    "deduplicates",
    "limits.requests",
    "limits.tokens",
    "limits.replicas_min",
    "limits.replicas_max",
    "limits.concurrency",
    "limits.queue",
    "limits.max_tokens",
    "limits.deadline_ms",
    "limits.first_byte_ms",
    "limits.cold.concurrency",
];

/// Adds effects and positions to the changes between two catalogues.
pub(super) fn with_effects(
    diff: CatalogueDiff,
    old: &Catalogue,
    new: &Catalogue,
    source: &Source<'_>,
) -> Vec<Difference> {
    let (old_keys, new_keys) = (key_counts(old), key_counts(new));
    let indexes = [
        ("data_centres", indexes(&new.data_centres, |it| &it.name)),
        ("organisations", indexes(&new.organisations, |it| &it.name)),
        ("entries", indexes(&new.entries, |it| &it.name)),
    ];
    let position = |path: &str, field: &str| {
        let (section, name) = split(path, field);
        let (section, indexes) = indexes.iter().find(|(known, _)| *known == section)?;
        let index = *indexes.get(name)?;
        let item = Item {
            section,
            index,
            name,
        };
        source.position(&item.steps(field))
    };
    let changes = diff.changes.into_iter().map(|change| {
        let position = match &change {
            Change::Added { path } => position(path, ""),
            Change::Removed { .. } => None,
            Change::Changed { path, .. } => position(path, field_of(path)),
        };
        let effect = effect_of(&change, &old_keys, &new_keys);
        Difference {
            change,
            position,
            effect,
        }
    });
    changes.collect()
}

/// Returns the effect of a change, with the number of keys of each organisation before and after
/// it.
fn effect_of(
    change: &Change,
    old_keys: &HashMap<&str, usize>,
    new_keys: &HashMap<&str, usize>,
) -> Effect {
    match change {
        Change::Added { path } => {
            let (section, name) = split(path, "");
            let keys = new_keys.get(name).copied().unwrap_or_default();
            Effect::of_added(section, keys)
        }
        Change::Removed { path } => {
            let (section, name) = split(path, "");
            let keys = old_keys.get(name).copied().unwrap_or_default();
            Effect::of_removed(section, keys)
        }
        Change::Changed { path, old, new } => {
            let field = field_of(path);
            let (section, _) = split(path, field);
            Effect::of_changed(section, field, old, new)
        }
    }
}

fn key_counts(catalogue: &Catalogue) -> HashMap<&str, usize> {
    let keys = |it: &Organisation| it.keys.len();
    let organisations = catalogue.organisations.iter();
    organisations
        .map(|it| (it.name.as_str(), keys(it)))
        .collect()
}

fn indexes<T>(items: &[T], name: impl Fn(&T) -> &String) -> HashMap<&str, usize> {
    let names = items.iter().enumerate();
    names
        .map(|(index, item)| (name(item).as_str(), index))
        .collect()
}

/// Returns the field at the end of a path, or nothing if the path is that of an item.
fn field_of(path: &str) -> &'static str {
    let ends_path = |field: &&str| {
        let before = path.strip_suffix(*field);
        before.is_some_and(|before| before.ends_with('.'))
    };
    FIELDS.into_iter().find(ends_path).unwrap_or_default()
}

/// Returns the section and name in a path that ends with `field`.
fn split<'a>(path: &'a str, field: &str) -> (&'a str, &'a str) {
    let item = path.strip_suffix(field).unwrap_or(path);
    let item = match field {
        "" => item,
        _ => item.strip_suffix('.').unwrap_or(item),
    };
    item.split_once('.').unwrap_or((item, ""))
}
