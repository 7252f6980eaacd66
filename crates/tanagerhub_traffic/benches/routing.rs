//! CPU time of the decisions for one request, with the current 60 groups and a planned 240.

use std::hint::black_box;
use std::sync::Arc;
use std::time::Duration;

use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};
use tanagerhub_catalogue::{
    Catalogue, Class, Entry, EntryId, EntryKind, Epoch, GroupId, Limits, OrganisationId, RequestId,
    ServiceEntry,
};
use tanagerhub_clock::Moment;
use tanagerhub_traffic::{
    AttemptEvent, Decision, EventRelay, Freshness, LoadReport, Repeat, RequestInfo, Route,
    RouteTable, Traffic, TrafficSettings,
};

const ENTRY: &str = "advisor";

fn traffic(groups: u64) -> Traffic {
    let now = Moment::from_millis(1);
    let entry = Entry {
        name: ENTRY.to_owned(),
        owner: "fit".to_owned(),
        class: Class::Interactive,
        limits: Limits {
            concurrency: 10_000,
            ..Limits::default()
        },
        kind: EntryKind::Service(ServiceEntry {
            routes: Vec::new(),
            deduplicates: false,
        }),
    };
    let catalogue = Catalogue {
        entries: vec![entry],
        ..Catalogue::default()
    };
    let settings = TrafficSettings {
        first_window: 10_000,
        ..TrafficSettings::default()
    };
    let mut traffic = Traffic::new(settings, 7);
    traffic.apply_catalogue(now, &Arc::new(catalogue));
    let view = Freshness {
        takes_work: true,
        live_nodes: 6,
        place: 0,
    };
    traffic.apply_freshness(now, view);
    let routes = (0..groups).map(|group| {
        let address = ([127, 0, 0, 1], 9_000).into();
        let mut route = Route::new(GroupId(group), Epoch(1), EntryId::of(ENTRY), address);
        route.load = Some(LoadReport {
            running: 9,
            waiting: 1,
            age: Duration::from_millis(500),
        });
        route
    });
    let routes = routes.collect();
    traffic.apply_routes(now, RouteTable { routes });
    traffic
}

fn info(number: u64) -> RequestInfo {
    let prompt = number % 100;
    RequestInfo::new(
        RequestId(number),
        OrganisationId(number % 10),
        EntryId::of(ENTRY),
    )
    .deadline(Moment::from_millis(100_000))
    .repeat(Repeat::Resume)
    .tokens(512, 64)
    .prefixes((0..8).map(|block| (prompt << 32 | block).wrapping_mul(0x9e37_79b9_7f4a_7c15)))
}

fn routing(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("request");
    for groups in [60, 240] {
        let mut traffic = traffic(groups);
        let mut number = 0;
        group.bench_function(BenchmarkId::new("submit to finish", groups), |bencher| {
            bencher.iter(|| {
                number += 1;
                // Timers expire only when the logical time advances.
                let now = Moment::from_millis(1) + Duration::from_micros(number);
                let Decision::Dispatch(it) = traffic.submit(now, info(number)) else {
                    panic!("no group has room");
                };
                traffic.report(now, it.attempt, AttemptEvent::FirstByte);
                traffic.report(now, it.attempt, AttemptEvent::Finished { tokens: 40 });
                traffic.poll(now);
                black_box(it.group)
            });
        });
    }
    group.finish();
}

fn token(criterion: &mut Criterion) {
    let mut traffic = traffic(60);
    let now = Moment::from_millis(1);
    let Decision::Dispatch(it) = traffic.submit(now, info(1)) else {
        panic!("no group has room");
    };
    let mut count = 0;
    criterion.bench_function("report/token", |bencher| {
        bencher.iter(|| {
            count += 1;
            let next = traffic.report(now, it.attempt, AttemptEvent::Token(count));
            black_box(next)
        });
    });
}

fn relay(criterion: &mut Criterion) {
    let mut text = String::new();
    for token in 1..=100 {
        text.push_str("id: ");
        text.push_str(&token.to_string());
        text.push_str("\ndata: {\"text\":\"a word\"}\n\n");
    }
    text.push_str("data: [DONE]\n\n");
    criterion.bench_function("relay/100 tokens", |bencher| {
        let mut out = Vec::with_capacity(text.len());
        bencher.iter(|| {
            out.clear();
            let mut relay = EventRelay::default();
            for chunk in text.as_bytes().chunks(100) {
                relay.push(chunk, &mut out).unwrap();
            }
            black_box(out.len())
        });
    });
}

criterion_group!(benches, routing, token, relay);
criterion_main!(benches);
