//! Calls of operators.

use std::fmt;

use serde::{Deserialize, Serialize};
use tanagerhub_catalogue::{CatalogueVersion, Mark};

/// A call of an operator to a node.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum OperatorCall {
    /// Returns whether the node accepts requests of callers.
    Ready,
    /// Returns the node's state, for debugging.
    State,
    /// Returns the catalogue in force.
    Catalogue,
    /// Replaces the catalogue.
    Apply(Apply),
    /// Returns the status of entries, groups, VMs, data centres and nodes.
    Status,
    /// Returns the latest decisions on one subject.
    Explain(Subject),
    /// Puts a VM or data centre into or out of service.
    Mark(MarkCall),
    /// Lists the requests that crashed backend servers.
    Crashes,
    /// Clears the records of requests that crashed backend servers.
    ClearCrashes,
}

/// A replacement of the catalogue.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Apply {
    /// The new catalogue as a TOML document.
    pub document: String,
    /// The version that must be in force; `None` for any.
    pub expected: Option<CatalogueVersion>,
    /// Whether to validate the document only.
    pub dry_run: bool,
    /// Whether to respond only once the version is in force everywhere, or once that can't be
    /// determined.
    pub wait: bool,
}

/// A subject of decisions.
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
    /// Returns the subject of this kind, or `None` for an unknown kind.
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

/// Puts a VM or data centre into or out of service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct MarkCall {
    /// Whether `name` is that of a VM or of a data centre.
    pub target: MarkTarget,
    /// The name of the VM or data centre.
    pub name: String,
    /// The mark to set.
    pub mark: Mark,
    /// The catalogue version that must be in force; `None` for any.
    #[serde(default)]
    pub expected: Option<CatalogueVersion>,
}

/// What a mark applies to.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum MarkTarget {
    /// A VM.
    Vm,
    /// A data centre.
    DataCentre,
}
