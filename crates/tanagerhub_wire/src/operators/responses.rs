//! Responses to operators.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use serde_json::Value;
use serde_with::{DurationMilliSeconds, serde_as};
use tanagerhub_catalogue::{Catalogue, CatalogueVersion, IdHex};

use crate::operators::StatusView;

/// A response to an operator; each kind of call has its own.
#[derive(Debug, Clone, PartialEq, Serialize)]
#[serde(untagged)]
pub enum OperatorResponse {
    /// The response to [`OperatorCall::Ready`](crate::operators::OperatorCall::Ready).
    Ready(Readiness),
    /// The response to [`OperatorCall::State`](crate::operators::OperatorCall::State).
    State(Value),
    /// The response to [`OperatorCall::Catalogue`](crate::operators::OperatorCall::Catalogue).
    Catalogue(Box<CatalogueView>),
    /// The response to [`OperatorCall::Apply`](crate::operators::OperatorCall::Apply) and
    /// [`OperatorCall::Mark`](crate::operators::OperatorCall::Mark).
    Applied(Applied),
    /// The response to [`OperatorCall::Status`](crate::operators::OperatorCall::Status).
    Status(Box<StatusView>),
    /// The response to [`OperatorCall::Explain`](crate::operators::OperatorCall::Explain).
    Explained(Explanation),
    /// The response to [`OperatorCall::Crashes`](crate::operators::OperatorCall::Crashes).
    Crashes(CrashList),
    /// The response to
    /// [`OperatorCall::ClearCrashes`](crate::operators::OperatorCall::ClearCrashes).
    Cleared(Cleared),
}

/// Whether the node accepts requests of callers.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Readiness {
    /// Whether the platform's load balancer should route callers to the node.
    pub ready: bool,
    /// Why the node is not ready; empty when it is.
    pub reason: String,
}

/// The catalogue in force at a node.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct CatalogueView {
    /// The version of the catalogue.
    pub version: CatalogueVersion,
    /// Whether the node has confirmed that there is no newer version.
    pub fresh: bool,
    /// The catalogue, including the operators' marks.
    pub catalogue: Catalogue,
}

/// The result of a change of the catalogue.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Applied {
    /// The version with the change; for a dry run the version that it would have.
    pub version: CatalogueVersion,
    /// Whether the change is committed; `false` for a dry run or a change without effect.
    pub committed: bool,
    /// Whether it is certain that no node accepts new requests under an older version.
    pub in_force: bool,
    /// The nodes that have not confirmed the version; while it is in force, they accept no new
    /// requests.
    pub missing: Vec<String>,
}

/// The latest decisions on one subject.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Explanation {
    /// The subject, such as `group/00f3…`.
    pub subject: String,
    /// A short description of its state.
    pub state: String,
    /// The decisions, newest first.
    pub decisions: Vec<Decision>,
}

/// A decision and its cause.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Decision {
    /// How long ago it was made.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "age_ms")]
    pub age: Duration,
    /// The node that made it.
    pub node: String,
    /// The names of the entry, group and VM that the decision is about, separated by commas.
    pub decision: String,
    /// The reason for the decision, followed by its details as `name=value`.
    pub cause: String,
}

/// The requests that crashed backend servers.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct CrashList {
    /// The records, one for each request.
    pub crashes: Vec<Crash>,
}

/// A request that crashed backend servers.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Crash {
    /// The hash of the call and its body, which identifies a repeated request.
    #[serde_as(as = "IdHex")]
    pub fingerprint: u64,
    /// The organisation that sent it; empty if the node has no record of it.
    pub organisation: String,
    /// The entry that it called; empty if the node has no record of it.
    pub entry: String,
    /// The number of crashes that followed the request.
    pub strikes: u32,
    /// Whether the request is currently refused.
    pub refused: bool,
    /// The time until the request is no longer refused; zero if it isn't refused.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "expires_ms")]
    pub expires: Duration,
}

/// The result of clearing the crash records.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Cleared {
    /// The number of requests whose records were removed.
    pub cleared: usize,
}
