//! Reads one catalogue entry.

use std::collections::HashSet;
use std::time::Duration;

use crate::document::section::read_name;
use crate::document::table_reader::TableReader;
use crate::{Class, ColdLimit, Entry, EntryKind, Limits, ModelEntry, Route, ServiceEntry};

/// The values that the method of a route can have; `*` matches any method.
const METHODS: [&str; 8] = [
    "*", "DELETE", "GET", "HEAD", "OPTIONS", "PATCH", "POST", "PUT",
];

/// The fields that only models or only services have.
const KIND_FIELDS: [&str; 5] = ["weights", "span", "fencing", "routes", "deduplicates"];

/// Reads an entry; returns `None` if a mistake was recorded that leaves a field without a value.
pub(crate) fn read_entry(mut reader: TableReader<'_>) -> Option<Entry> {
    let name = read_name(&mut reader);
    let owner = read_text(&mut reader, "owner");
    let class: Option<Class> = reader.required("class");
    let limits = read_limits(reader.subtable("limits"));
    let kind = read_kind(&mut reader);
    reader.finish();
    Some(Entry {
        name: name?,
        owner: owner?,
        class: class?,
        limits,
        kind: kind?,
    })
}

fn read_text(reader: &mut TableReader<'_>, key: &str) -> Option<String> {
    let text: String = reader.required(key)?;
    reader.check(!text.trim().is_empty(), key, "must not be empty");
    Some(text)
}

fn read_kind(reader: &mut TableReader<'_>) -> Option<EntryKind> {
    let kind: Option<String> = reader.required("kind");
    match kind.as_deref() {
        Some("model") => return read_model(reader).map(EntryKind::Model),
        Some("service") => return Some(EntryKind::Service(read_service(reader))),
        Some(other) => {
            let message = format!("must be model or service, not \"{other}\"");
            reader.record_mistake("kind", message);
        }
        None => {}
    }
    // Without a kind, the fields that depend on it can't be checked.
    for field in KIND_FIELDS {
        reader.skip(field);
    }
    None
}

fn read_model(reader: &mut TableReader<'_>) -> Option<ModelEntry> {
    let weights = read_text(reader, "weights");
    let span: Option<u16> = reader.required("span");
    reader.check(span != Some(0), "span", "must be at least 1 VM");
    let fencing = reader.optional_or("fencing", crate::Fencing::default());
    Some(ModelEntry {
        weights: weights?,
        span: span?,
        fencing,
    })
}

fn read_service(reader: &mut TableReader<'_>) -> ServiceEntry {
    let deduplicates = reader.optional_or("deduplicates", false);
    let mut routes = Vec::new();
    let mut seen = HashSet::new();
    for (index, table) in reader.tables("routes").into_iter().enumerate() {
        let path = format!("routes[{index}]");
        if let Some(route) = read_route(reader.reader_for(&path, table)) {
            let unique = seen.insert((route.method.clone(), route.path.clone()));
            let message = format!("{} {} stands twice", route.method, route.path);
            reader.check(unique, &path, message);
            routes.push(route);
        }
    }
    ServiceEntry {
        routes,
        deduplicates,
    }
}

fn read_route(mut reader: TableReader<'_>) -> Option<Route> {
    let method: Option<String> = reader.required("method");
    let path: Option<String> = reader.required("path");
    let repeatable: Option<bool> = reader.required("repeatable");
    if let Some(method) = &method {
        let known = METHODS.contains(&method.as_str());
        let message = format!("must be one of {}, not \"{method}\"", METHODS.join(" "));
        reader.check(known, "method", message);
    }
    if let Some(path) = &path {
        reader.check(path.starts_with('/'), "path", "must start with /");
    }
    reader.finish();
    Some(Route {
        method: method?,
        path: path?,
        repeatable: repeatable?,
    })
}

fn read_limits(mut reader: TableReader<'_>) -> Limits {
    let defaults = Limits::default();
    let limits = Limits {
        replicas_min: reader.optional_or("replicas_min", defaults.replicas_min),
        replicas_max: reader.optional_or("replicas_max", defaults.replicas_max),
        concurrency: reader.optional_or("concurrency", defaults.concurrency),
        queue: reader.optional_or("queue", defaults.queue),
        max_tokens: reader.optional_or("max_tokens", defaults.max_tokens),
        timeout: read_millis(&mut reader, "deadline_ms", defaults.timeout),
        first_byte_timeout: read_millis(&mut reader, "first_byte_ms", defaults.first_byte_timeout),
        cold: read_cold(reader.subtable("cold")),
    };
    check_limits(&mut reader, &limits);
    reader.finish();
    limits
}

fn read_millis(reader: &mut TableReader<'_>, key: &str, default: Duration) -> Duration {
    let millis: Option<u64> = reader.optional(key);
    millis.map_or(default, Duration::from_millis)
}

fn read_cold(mut reader: TableReader<'_>) -> ColdLimit {
    let defaults = ColdLimit::default();
    let cold = ColdLimit {
        concurrency: reader.optional_or("concurrency", defaults.concurrency),
    };
    reader.finish();
    cold
}

fn check_limits(reader: &mut TableReader<'_>, limits: &Limits) {
    let Limits {
        replicas_min: min,
        replicas_max: max,
        concurrency,
        ..
    } = *limits;
    let cold = limits.cold.concurrency;
    let message = format!("is {max}, below replicas_min, which is {min}");
    reader.check(max >= min, "replicas_max", message);
    reader.check(concurrency > 0, "concurrency", "must be at least 1");
    reader.check(limits.max_tokens > 0, "max_tokens", "must be at least 1");
    reader.check(cold > 0, "cold.concurrency", "must be at least 1");
    let message = format!("is {cold}, above the concurrency, which is {concurrency}");
    let within = cold <= concurrency || concurrency == 0;
    reader.check(within, "cold.concurrency", message);
    let zero_timeout = limits.timeout.is_zero();
    reader.check(!zero_timeout, "deadline_ms", "must be at least 1");
    let zero_first_byte_timeout = limits.first_byte_timeout.is_zero();
    reader.check(
        !zero_first_byte_timeout,
        "first_byte_ms",
        "must be at least 1",
    );
    let within = zero_timeout || limits.first_byte_timeout <= limits.timeout;
    reader.check(within, "first_byte_ms", "must not be above deadline_ms");
}
