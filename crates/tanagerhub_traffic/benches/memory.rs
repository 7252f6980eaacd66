//! Prints the memory that `Traffic` uses per request in flight, without the body.
//!
//! Run `cargo bench -p tanagerhub_traffic --bench memory -- running`, or `-- waiting`. Each run
//! measures one case, because freed memory stays resident.

use std::sync::Arc;
use std::time::Duration;

use tanagerhub_catalogue::{
    Catalogue, Class, Entry, EntryId, EntryKind, Epoch, GroupId, Limits, OrganisationId, RequestId,
    ServiceEntry,
};
use tanagerhub_clock::Moment;
use tanagerhub_traffic::{
    Decision, Freshness, Repeat, RequestInfo, Route, RouteTable, Traffic, TrafficSettings,
};

const REQUESTS: u32 = 100_000;
const PAGE_BYTES: u64 = 4_096;

fn main() {
    let waiting = std::env::args().any(|argument| argument == "waiting");
    let (name, concurrency) = if waiting {
        ("waiting", 1)
    } else {
        ("running", u32::MAX)
    };
    let before = resident_bytes();
    let traffic = traffic_with_requests(concurrency);
    let bytes = resident_bytes().saturating_sub(before) / u64::from(REQUESTS);
    println!("{name}: {bytes} bytes per request");
    drop(traffic);
}

fn traffic_with_requests(concurrency: u32) -> Traffic {
    let now = Moment::from_millis(1);
    let entry = Entry {
        name: "advisor".to_owned(),
        owner: "fit".to_owned(),
        class: Class::Interactive,
        limits: Limits {
            concurrency,
            queue: u32::MAX,
            ..Limits::default()
        },
        kind: EntryKind::Service(ServiceEntry {
            routes: Vec::new(),
            deduplicates: false,
        }),
    };
    let id = entry.id();
    let settings = TrafficSettings {
        first_window: u32::MAX,
        ..TrafficSettings::default()
    };
    let mut traffic = Traffic::new(settings, 7);
    let catalogue = Catalogue {
        entries: vec![entry],
        ..Catalogue::default()
    };
    traffic.apply_catalogue(now, &Arc::new(catalogue));
    let view = Freshness {
        takes_work: true,
        live_nodes: 1,
        place: 0,
    };
    traffic.apply_freshness(now, view);
    let route = Route::new(GroupId(1), Epoch(1), id, ([127, 0, 0, 1], 9_000).into());
    traffic.apply_routes(
        now,
        RouteTable {
            routes: vec![route],
        },
    );
    for number in 0..REQUESTS {
        let decision = traffic.submit(now, info(number, id));
        assert!(!matches!(decision, Decision::Refuse(_)), "{decision:?}");
    }
    traffic
}

fn info(number: u32, entry: EntryId) -> RequestInfo {
    let number = u64::from(number);
    RequestInfo::new(RequestId(number), OrganisationId(number % 10), entry)
        .deadline(Moment::ZERO + Duration::from_secs(100))
        .repeat(Repeat::Resume)
        .tokens(512, 64)
        .prefixes((0..8).map(|block| number << 8 | block))
}

/// Returns the resident memory of this process.
fn resident_bytes() -> u64 {
    let text = std::fs::read_to_string("/proc/self/statm").expect("statm is readable on Linux");
    let pages = text
        .split_whitespace()
        .nth(1)
        .and_then(|it| it.parse::<u64>().ok());
    pages.unwrap_or(0) * PAGE_BYTES
}
