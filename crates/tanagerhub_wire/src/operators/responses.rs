//! What operators get.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use serde_json::Value;
use serde_with::{DurationMilliSeconds, serde_as};
use tanagerhub_catalogue::{Catalogue, CatalogueVersion, IdHex};

use crate::operators::StatusView;

/// An answer to an operator; each call has its own.
#[derive(Debug, Clone, PartialEq, Serialize)]
#[serde(untagged)]
pub enum OperatorResponse {
    /// To [`OperatorCall::Ready`](crate::operators::OperatorCall::Ready).
    Ready(Readiness),
    /// To [`OperatorCall::State`](crate::operators::OperatorCall::State).
    State(Value),
    /// To [`OperatorCall::Catalogue`](crate::operators::OperatorCall::Catalogue).
    Catalogue(Box<CatalogueView>),
    /// To [`OperatorCall::Apply`](crate::operators::OperatorCall::Apply) and
    /// [`OperatorCall::Mark`](crate::operators::OperatorCall::Mark).
    Applied(Applied),
    /// To [`OperatorCall::Status`](crate::operators::OperatorCall::Status).
    Status(Box<StatusView>),
    /// To [`OperatorCall::Explain`](crate::operators::OperatorCall::Explain).
    Explained(Explanation),
    /// To [`OperatorCall::Crashes`](crate::operators::OperatorCall::Crashes).
    Crashes(CrashList),
    /// To [`OperatorCall::ClearCrashes`](crate::operators::OperatorCall::ClearCrashes).
    Cleared(Cleared),
}

/// Whether the node can take work.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Readiness {
    /// Whether the platform's balancer shall send callers here.
    pub ready: bool,
    /// Why not, or an empty text.
    pub reason: String,
}

/// The catalogue as a node holds it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct CatalogueView {
    /// The version.
    pub version: CatalogueVersion,
    /// Whether the node knows that there is no newer one.
    pub fresh: bool,
    /// The catalogue with its marks.
    pub catalogue: Catalogue,
}

/// What became of a change.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Applied {
    /// The version that the change has, or would have.
    pub version: CatalogueVersion,
    /// Whether it is committed; `false` for a dry run or a change that changes nothing.
    pub committed: bool,
    /// Whether it is known that no node takes new work under an older version.
    pub in_force: bool,
    /// The nodes that aren't known to hold it; while it is in force, they take no new work.
    pub missing: Vec<String>,
}

/// The last decisions on one thing, newest first.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Explanation {
    /// The thing, such as `group/00f3…`.
    pub subject: String,
    /// Its state in a few words.
    pub state: String,
    /// The decisions.
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
    /// What was decided.
    pub decision: String,
    /// Why.
    pub cause: String,
}

/// The requests that crashed back ends.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct CrashList {
    /// One for each request.
    pub crashes: Vec<Crash>,
}

/// A request that crashed back ends.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Crash {
    /// The hash of the request.
    #[serde_as(as = "IdHex")]
    pub fingerprint: u64,
    /// The organisation that sent it.
    pub organisation: String,
    /// The entry that it called.
    pub entry: String,
    /// The crashes that followed it.
    pub strikes: u32,
    /// Whether it is refused now.
    pub refused: bool,
    /// The time until it is forgotten.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "expires_ms")]
    pub expires: Duration,
}

/// How much was forgotten.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Cleared {
    /// The number of requests.
    pub cleared: usize,
}
