//! Finds items that no request can use.

use std::collections::HashMap;

use super::source::{Collector, Item};
use crate::{Catalogue, Entry, EntryKind, FindingReason, Organisation, Route, ServiceEntry};

/// Warns about organisations, models and routes that no request can use.
pub(super) fn check(
    catalogue: &Catalogue,
    in_force: Option<&Catalogue>,
    collector: &mut Collector<'_>,
) {
    check_keys(catalogue, in_force, collector);
    for (index, entry) in catalogue.entries.iter().enumerate() {
        let item = Item {
            section: "entries",
            index,
            name: &entry.name,
        };
        match &entry.kind {
            EntryKind::Model(_) => check_replicas(item, entry, collector),
            EntryKind::Service(service) => check_routes(item, service, collector),
        }
    }
}

fn check_keys(catalogue: &Catalogue, in_force: Option<&Catalogue>, collector: &mut Collector<'_>) {
    let organisations = in_force.map_or(&[][..], |catalogue| &catalogue.organisations);
    let keys: HashMap<_, _> = organisations
        .iter()
        .map(|organisation: &Organisation| (organisation.name.as_str(), organisation.keys.len()))
        .collect();
    for (index, organisation) in catalogue.organisations.iter().enumerate() {
        let item = Item {
            section: "organisations",
            index,
            name: &organisation.name,
        };
        if organisation.keys.is_empty() {
            let withdrawn = keys.get(item.name).copied().unwrap_or_default();
            collector.warn(item, "keys", FindingReason::NoKeys { withdrawn });
        }
    }
}

/// Warns about a model without replicas. The platform, not the document, says which VMs run a
/// service, so services aren't checked.
fn check_replicas(item: Item<'_>, entry: &Entry, collector: &mut Collector<'_>) {
    if entry.limits.replicas_max == 0 {
        collector.warn(item, "limits.replicas_max", FindingReason::NoReplicas);
    }
}

fn check_routes(item: Item<'_>, service: &ServiceEntry, collector: &mut Collector<'_>) {
    // Routes match the same paths if their paths differ only in slashes at the end.
    let mut by_prefix: HashMap<&str, Vec<&Route>> = HashMap::new();
    for route in &service.routes {
        let prefix = route.path.trim_end_matches('/');
        by_prefix.entry(prefix).or_default().push(route);
    }
    for (index, route) in service.routes.iter().enumerate() {
        if let Some(character) = route.path.chars().find(|it| !can_be_in_path(*it)) {
            let field = format!("routes[{index}].path");
            let reason = FindingReason::UnmatchablePath { character };
            collector.warn(item, &field, reason);
        }
        let same = &by_prefix[route.path.trim_end_matches('/')];
        if let Some(other) = same.iter().find(|other| takes_precedence(other, route)) {
            let reason = FindingReason::ShadowedRoute {
                route: format!("{} {}", route.method, route.path),
                by: format!("{} {}", other.method, other.path),
            };
            collector.warn(item, &format!("routes[{index}]"), reason);
        }
    }
}

/// Returns whether `other`, which matches the same paths, is chosen for every call that `route`
/// matches: the longest path has precedence.
fn takes_precedence(other: &Route, route: &Route) -> bool {
    let covers_method = other.method == "*" || other.method == route.method;
    covers_method && other.path.len() > route.path.len()
}

/// Returns whether the path of a call can contain a character. A query starts with `?`, a fragment
/// with `#`, and nodes refuse requests with other characters than visible ASCII.
const fn can_be_in_path(character: char) -> bool {
    character.is_ascii_graphic() && !matches!(character, '?' | '#')
}
