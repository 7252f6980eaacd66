//! The effects of changes of a catalogue.

use std::collections::BTreeMap;
use std::fmt;

use serde::Serialize;
use serde_json::Value;

/// What a change of the catalogue does to callers and replicas.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum Effect {
    /// A data centre is added.
    DataCentreAdded,
    /// A data centre is removed.
    DataCentreRemoved,
    /// An organisation is added.
    OrganisationAdded {
        /// The number of its keys.
        keys: usize,
    },
    /// An organisation is removed.
    OrganisationRemoved {
        /// The number of its keys, which are withdrawn.
        keys: usize,
    },
    /// An entry is added.
    EntryAdded,
    /// An entry is removed.
    EntryRemoved,
    /// The keys of an organisation change.
    KeysChanged {
        /// The number of new keys.
        added: usize,
        /// The number of withdrawn keys.
        withdrawn: usize,
    },
    /// The routes of a service change.
    RoutesChanged {
        /// Method and path of new routes.
        added: Vec<String>,
        /// Method and path of dropped routes.
        dropped: Vec<String>,
        /// Method and path of routes whose calls may be repeated from now on, or no longer.
        changed: Vec<String>,
    },
    /// A limit is raised.
    LimitRaised {
        /// The limit.
        limit: Limit,
    },
    /// An organisation has a limit no longer.
    LimitRemoved {
        /// The limit.
        limit: Limit,
    },
    /// A limit is lowered, or set for an organisation that had none.
    LimitLowered {
        /// The limit.
        limit: Limit,
    },
    /// An entry's requests take precedence over more of the others.
    PrecedenceRaised,
    /// An entry's requests take precedence over fewer of the others.
    PrecedenceLowered,
    /// An organisation's share of busy entries grows.
    ShareRaised,
    /// An organisation's share of busy entries shrinks.
    ShareLowered,
    /// A model becomes a service, or the reverse.
    KindChanged,
    /// The field belongs to one kind of entries only, and the kind changes.
    FollowsKind,
    /// A model has other weights.
    WeightsChanged,
    /// A model's replicas have another number of VMs.
    SpanChanged,
    /// A service is or isn't relied on to drop repeated calls.
    DeduplicationChanged {
        /// Whether it is relied on.
        enabled: bool,
    },
    /// The field has no effect on requests.
    Informational,
}

/// A limit in the catalogue.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Limit {
    /// Replicas that an entry should hold.
    ReplicasMin,
    /// Replicas that an entry may hold.
    ReplicasMax,
    /// Requests in flight on a replica.
    Concurrency,
    /// Waiting requests of an entry.
    Queue,
    /// Length of a response.
    MaxTokens,
    /// Time for a request.
    Deadline,
    /// Time until the first byte.
    FirstByte,
    /// Requests in flight on a replica in its cold start.
    ColdConcurrency,
    /// Rate of an organisation's requests.
    OrganisationRequests,
    /// Rate of an organisation's tokens.
    OrganisationTokens,
    /// Requests of an organisation in flight.
    OrganisationConcurrency,
}

impl Effect {
    pub(super) fn of_added(section: &str, keys: usize) -> Self {
        match section {
            "data_centres" => Self::DataCentreAdded,
            "organisations" => Self::OrganisationAdded { keys },
            _ => Self::EntryAdded,
        }
    }

    pub(super) fn of_removed(section: &str, keys: usize) -> Self {
        match section {
            "data_centres" => Self::DataCentreRemoved,
            "organisations" => Self::OrganisationRemoved { keys },
            _ => Self::EntryRemoved,
        }
    }

    /// Returns the effect of another value of a field.
    pub(super) fn of_changed(section: &str, field: &str, old: &Value, new: &Value) -> Self {
        match field {
            "keys" => keys_changed(old, new),
            "kind" => Self::KindChanged,
            "class" if class_order(new) < class_order(old) => Self::PrecedenceRaised,
            "class" => Self::PrecedenceLowered,
            "weight" if number(new) > number(old) => Self::ShareRaised,
            "weight" => Self::ShareLowered,
            "weights" | "span" | "routes" | "deduplicates" | "fencing"
                if old.is_null() || new.is_null() =>
            {
                Self::FollowsKind
            }
            "weights" => Self::WeightsChanged,
            "span" => Self::SpanChanged,
            "routes" => routes_changed(old, new),
            "deduplicates" => Self::DeduplicationChanged {
                enabled: *new == Value::Bool(true),
            },
            _ => match Limit::of_field(section, field) {
                Some(limit) if new.is_null() => Self::LimitRemoved { limit },
                Some(limit) if number(new) > number(old) => Self::LimitRaised { limit },
                Some(limit) => Self::LimitLowered { limit },
                None => Self::Informational,
            },
        }
    }
}

impl Limit {
    fn of_field(section: &str, field: &str) -> Option<Self> {
        match (section, field) {
            ("organisations", "limits.requests") => Some(Self::OrganisationRequests),
            ("organisations", "limits.tokens") => Some(Self::OrganisationTokens),
            ("organisations", "limits.concurrency") => Some(Self::OrganisationConcurrency),
            (_, "limits.replicas_min") => Some(Self::ReplicasMin),
            (_, "limits.replicas_max") => Some(Self::ReplicasMax),
            (_, "limits.concurrency") => Some(Self::Concurrency),
            (_, "limits.queue") => Some(Self::Queue),
            (_, "limits.max_tokens") => Some(Self::MaxTokens),
            (_, "limits.deadline_ms") => Some(Self::Deadline),
            (_, "limits.first_byte_ms") => Some(Self::FirstByte),
            (_, "limits.cold.concurrency") => Some(Self::ColdConcurrency),
            _ => None,
        }
    }

    const fn effect_if_raised(self) -> &'static str {
        match self {
            Self::ReplicasMin => "more replicas are formed before those of other entries",
            Self::ReplicasMax => "more replicas may be formed",
            Self::Concurrency => "a replica gets more requests at once",
            Self::Queue => "more requests may wait",
            Self::MaxTokens => "longer responses are accepted",
            Self::Deadline => "requests may take longer",
            Self::FirstByte => "a replica may take longer until the first byte",
            Self::ColdConcurrency => "a replica in its cold start gets more requests at once",
            Self::OrganisationRequests | Self::OrganisationTokens => "a higher rate is accepted",
            Self::OrganisationConcurrency => "more requests are accepted at once",
        }
    }

    const fn effect_if_lowered(self) -> &'static str {
        match self {
            Self::ReplicasMin => "fewer replicas are formed before those of other entries",
            Self::ReplicasMax => "a model's replicas above the limit are drained",
            Self::Concurrency => "a replica gets fewer requests at once",
            Self::Queue => "fewer requests may wait, others are refused",
            Self::MaxTokens => "requests for longer responses are refused",
            Self::Deadline => "requests that take longer fail",
            Self::FirstByte => "attempts that take longer until the first byte fail",
            Self::ColdConcurrency => "a replica in its cold start gets fewer requests at once",
            Self::OrganisationRequests | Self::OrganisationTokens => {
                "requests above the rate are refused"
            }
            Self::OrganisationConcurrency => "more requests at once are refused",
        }
    }
}

impl fmt::Display for Effect {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let text = match self {
            Self::OrganisationAdded { keys } => {
                return write!(f, "its keys ({keys}) are accepted");
            }
            Self::OrganisationRemoved { keys } => {
                return write!(f, "its keys ({keys}) are withdrawn");
            }
            Self::KeysChanged { added, withdrawn } => {
                return write!(f, "{added} added, {withdrawn} withdrawn");
            }
            Self::RoutesChanged {
                added,
                dropped,
                changed,
            } => return write_routes(f, added, dropped, changed),
            Self::DataCentreAdded => "it can be marked out and in",
            Self::DataCentreRemoved => "it can't be marked any more; its VMs keep serving",
            Self::EntryAdded => "callers can use it as soon as backend servers serve it",
            Self::EntryRemoved => "its requests are refused, its replicas are drained",
            Self::LimitRaised { limit } => limit.effect_if_raised(),
            Self::LimitLowered { limit } => limit.effect_if_lowered(),
            Self::LimitRemoved { .. } => "there is no limit any more",
            Self::PrecedenceRaised => "its requests take precedence over more of the others",
            Self::PrecedenceLowered => "its requests take precedence over fewer of the others",
            Self::ShareRaised => "its share of busy entries grows",
            Self::ShareLowered => "its share of busy entries shrinks",
            Self::KindChanged => "callers use other paths, and the former replicas are drained",
            Self::FollowsKind => "follows from the change of the kind",
            Self::WeightsChanged => "replicas that are formed from now on load the new weights",
            Self::SpanChanged => "replicas of the former size are drained",
            Self::DeduplicationChanged { enabled: true } => {
                "calls are also sent while their keys can't be recorded"
            }
            Self::DeduplicationChanged { enabled: false } => {
                "calls are refused while their keys can't be recorded"
            }
            Self::Informational => "no effect on requests",
        };
        f.write_str(text)
    }
}

fn write_routes(
    f: &mut fmt::Formatter<'_>,
    added: &[String],
    dropped: &[String],
    changed: &[String],
) -> fmt::Result {
    let lists = [("added", added), ("dropped", dropped), ("changed", changed)];
    let lists = lists.into_iter().filter(|(_, routes)| !routes.is_empty());
    let lists: Vec<_> = lists
        .map(|(what, routes)| format!("{what} {}", routes.join(", ")))
        .collect();
    if lists.is_empty() {
        return f.write_str("another order, no effect on requests");
    }
    f.write_str(&lists.join("; "))
}

fn keys_changed(old: &Value, new: &Value) -> Effect {
    let empty = Vec::new();
    let old = old.as_array().unwrap_or(&empty);
    let new = new.as_array().unwrap_or(&empty);
    Effect::KeysChanged {
        added: new.iter().filter(|key| !old.contains(key)).count(),
        withdrawn: old.iter().filter(|key| !new.contains(key)).count(),
    }
}

fn routes_changed(old: &Value, new: &Value) -> Effect {
    let (old, new) = (routes(old), routes(new));
    let added = new.keys().filter(|route| !old.contains_key(*route));
    let dropped = old.keys().filter(|route| !new.contains_key(*route));
    let changed = new.iter().filter(|(route, repeatable)| {
        let before = old.get(*route);
        before.is_some_and(|before| before != *repeatable)
    });
    Effect::RoutesChanged {
        added: added.cloned().collect(),
        dropped: dropped.cloned().collect(),
        changed: changed.map(|(route, _)| route.clone()).collect(),
    }
}

/// Returns, by method and path, whether the calls of a route may be repeated.
fn routes(value: &Value) -> BTreeMap<String, bool> {
    let text = |route: &Value, field: &str| {
        let text = route.get(field).and_then(Value::as_str);
        text.unwrap_or_default().to_owned()
    };
    let routes = value.as_array().into_iter().flatten();
    let routes = routes.map(|route| {
        let repeatable = route.get("repeatable") == Some(&Value::Bool(true));
        let name = format!("{} {}", text(route, "method"), text(route, "path"));
        (name, repeatable)
    });
    routes.collect()
}

/// Returns the position of a class among the classes, the most urgent first.
fn class_order(value: &Value) -> Option<crate::Class> {
    serde_json::from_value(value.clone()).ok()
}

/// Returns a limit's value; an organisation's missing limit is above all others.
fn number(value: &Value) -> f64 {
    value.as_f64().unwrap_or(f64::INFINITY)
}
