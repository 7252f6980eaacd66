//! Mistakes with their place in the document.

use crate::Mistake;

/// A mistake, and where the document contains it.
#[derive(Debug, Clone)]
pub(crate) struct LocatedMistake {
    pub(crate) mistake: Mistake,
    pub(crate) place: Place,
}

/// A place in a document.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum Place {
    /// A value, by the steps that lead from the root to it.
    Value(Vec<Step>),
    /// A syntax error, by its offset in bytes if known.
    Syntax(Option<usize>),
}

/// One step from a value to a value inside it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum Step {
    /// To the field of a table.
    Field(String),
    /// To the element of an array, by its index.
    Element(usize),
    /// To the first table of an array that has this name.
    Named(String),
}

impl Step {
    /// Returns the steps of a field that this crate names, such as `cold.concurrency` or `keys[2]`.
    ///
    /// Keys that operators have written can contain any character and must not be passed.
    pub(crate) fn of_field(field: &str) -> impl Iterator<Item = Self> {
        field.split('.').flat_map(|part| {
            let (name, index) = part.split_once('[').unwrap_or((part, ""));
            let index = index.trim_end_matches(']').parse().ok();
            [Some(Self::Field(name.to_owned())), index.map(Self::Element)]
                .into_iter()
                .flatten()
        })
    }
}
