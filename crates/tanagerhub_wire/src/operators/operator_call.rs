//! What operators ask for.

use std::fmt;

use serde::{Deserialize, Serialize};
use tanagerhub_catalogue::{CatalogueVersion, Mark};

/// What an operator asks a node for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum OperatorCall {
    /// Whether the node can take work.
    Ready,
    /// The node's state, for debugging.
    State,
    /// The catalogue in force.
    Catalogue,
    /// A new catalogue.
    Apply(Apply),
    /// What serves and what doesn't.
    Status,
    /// The last decisions on one thing.
    Explain(Subject),
    /// A VM or data centre in or out of service.
    Mark(MarkCall),
    /// The requests that crashed back ends.
    Crashes,
    /// Forget the requests that crashed back ends.
    ClearCrashes,
}

/// A new catalogue.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Apply {
    /// The TOML document.
    pub document: String,
    /// The version that it shall replace; `None` replaces any.
    pub expected: Option<CatalogueVersion>,
    /// Only check it.
    pub dry_run: bool,
    /// Answer only once it is in force everywhere, or that can't be known.
    pub wait: bool,
}

/// Something that decisions are made on.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Subject {
    /// A replica group, by its id in hex.
    Group(String),
    /// A model or service, by its entry's name.
    Model(String),
    /// A VM, by its name.
    Vm(String),
}

impl Subject {
    /// The subject of this kind; `None` when there is no such kind.
    #[must_use]
    pub fn new(kind: &str, name: &str) -> Option<Self> {
        let name = name.to_owned();
        match kind {
            "group" => Some(Self::Group(name)),
            "model" => Some(Self::Model(name)),
            "vm" => Some(Self::Vm(name)),
            _ => None,
        }
    }
}

impl fmt::Display for Subject {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Group(name) => write!(f, "group/{name}"),
            Self::Model(name) => write!(f, "model/{name}"),
            Self::Vm(name) => write!(f, "vm/{name}"),
        }
    }
}

/// Takes a VM or data centre in or out of service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct MarkCall {
    /// What kind of thing it is.
    pub target: MarkTarget,
    /// Its name.
    pub name: String,
    /// In or out.
    pub mark: Mark,
    /// The catalogue version that the operator has seen; `None` for any.
    #[serde(default)]
    pub expected: Option<CatalogueVersion>,
}

/// The things that can be marked.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum MarkTarget {
    /// A VM.
    Vm,
    /// A data centre.
    DataCentre,
}
