//! The reasons of findings.

use std::fmt;

use serde::Serialize;

/// What a check found at a field.
#[derive(Debug, Clone, PartialEq, Serialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum FindingReason {
    /// The document isn't valid TOML.
    Syntax {
        /// What the parser expected.
        message: String,
    },
    /// A mistake for which a node refuses the document.
    Invalid {
        /// What is wrong with the field, and what is allowed.
        message: String,
    },
    /// Another route takes precedence for every call that this one matches.
    ShadowedRoute {
        /// The method and path of the route.
        route: String,
        /// The method and path of the other route.
        by: String,
    },
    /// The path of a route contains a character that no call's path contains.
    UnmatchablePath {
        /// The character.
        character: char,
    },
    /// A model has no replicas.
    NoReplicas,
    /// An organisation has no keys.
    NoKeys {
        /// The number of keys in force that the document withdraws.
        withdrawn: usize,
    },
    /// All data centres of the document are marked out.
    AllDataCentresOut {
        /// Their number.
        count: usize,
    },
    /// A data centre is marked out, and the document doesn't contain it.
    DroppedDataCentreOut,
    /// More requests may wait than can be served within the deadline.
    QueueBeyondDeadline {
        /// The limit of waiting requests.
        queue: u32,
        /// The number of requests that all replicas can start within the deadline.
        served: u64,
        /// The deadline, in milliseconds.
        deadline_ms: u64,
    },
    /// An organisation's limit of requests in flight is above what all entries accept.
    ConcurrencyBeyondEntries {
        /// The organisation's limit.
        limit: u32,
        /// The number of requests that wait and run at all entries at most.
        accepted: u64,
    },
    /// An organisation's rate of requests is above what all entries can serve.
    RateBeyondEntries {
        /// The organisation's limit, in requests per second.
        limit: f64,
        /// The rate that the replicas of all entries can serve, in requests per second.
        served: f64,
    },
    /// A value differs by a factor of about 1,000 from the same field of the other items.
    UnlikelyMagnitude {
        /// The value.
        value: f64,
        /// The median over all items.
        median: f64,
    },
}

impl fmt::Display for FindingReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Syntax { message } | Self::Invalid { message } => f.write_str(message),
            Self::ShadowedRoute { route, by } => {
                write!(
                    f,
                    "{route} never applies: {by} is longer and matches the same calls"
                )
            }
            Self::UnmatchablePath { character } => {
                write!(
                    f,
                    "matches no call: no path of a call contains {character:?}"
                )
            }
            Self::NoReplicas => f.write_str("is 0: the model never has a replica that serves it"),
            Self::NoKeys { withdrawn: 0 } => {
                f.write_str("the organisation has no key, so none of its requests is accepted")
            }
            Self::NoKeys { withdrawn } => write!(
                f,
                "all keys in force ({withdrawn}) are withdrawn, so none of the organisation's \
                 requests is accepted"
            ),
            Self::AllDataCentresOut { count } => write!(
                f,
                "all data centres of the document ({count}) are marked out, so their VMs get no \
                 requests"
            ),
            Self::DroppedDataCentreOut => f.write_str(
                "is marked out and not in the document: its VMs stay out of service, and it can't \
                 be marked in",
            ),
            Self::QueueBeyondDeadline {
                queue,
                served,
                deadline_ms,
            } => write!(
                f,
                "is {queue}, but all replicas start at most {served} requests within deadline_ms, \
                 which is {deadline_ms}"
            ),
            Self::ConcurrencyBeyondEntries { limit, accepted } => write!(
                f,
                "is {limit}, but at most {accepted} requests run and wait at all entries together"
            ),
            Self::RateBeyondEntries { limit, served } => write!(
                f,
                "is {limit}, but the replicas of all entries serve at most {served} requests per \
                 second"
            ),
            Self::UnlikelyMagnitude { value, median } => write!(
                f,
                "is {value}, which differs by a factor of about 1,000 from the median of this \
                 field, {median}: is the unit right?"
            ),
        }
    }
}
