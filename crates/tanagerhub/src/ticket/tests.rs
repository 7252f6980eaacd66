use std::sync::Arc;
use std::time::Duration;

use async_std::task;
use tanagerhub_catalogue::{
    Catalogue, Class, Entry, EntryId, EntryKind, Epoch, GroupId, Limits, OrganisationId, RequestId,
    ServiceEntry,
};
use tanagerhub_clock::Clock;
use tanagerhub_traffic::{
    Decision, RequestInfo, Route, RouteTable, Selection, Traffic, TrafficSettings,
};

use crate::snapshot::Snapshot;
use crate::traffic_handle::TrafficHandle;

/// Returns a handle with one group that runs one request at a time.
fn handle_with_one_slot(clock: &Clock) -> Arc<TrafficHandle> {
    let entry = Entry {
        name: "advisor".to_owned(),
        owner: String::new(),
        class: Class::Interactive,
        limits: Limits {
            queue: 100,
            first_byte_timeout: Duration::from_mins(1),
            ..Limits::default()
        },
        kind: EntryKind::Service(ServiceEntry {
            routes: Vec::new(),
            deduplicates: false,
        }),
    };
    let address = "127.0.0.1:9001".parse().unwrap();
    let mut route = Route::new(GroupId(1), Epoch(1), entry.id(), address);
    route.slots = Some(1);
    let settings = TrafficSettings {
        hedges: false,
        selection: Selection::LeastLoaded,
        first_window: u32::MAX,
        ..TrafficSettings::default()
    };
    let traffic = Traffic::new(settings, 1);
    let handle = TrafficHandle::new(clock.clone(), traffic, Box::new(|_, _| {}));
    handle.publish(Snapshot {
        generation: 1,
        created_at: clock.now(),
        max_age: Duration::MAX,
        catalogue: Arc::new(Catalogue {
            entries: vec![entry],
            ..Catalogue::default()
        }),
        routes: RouteTable {
            routes: vec![route],
        },
        fresh_until: Some(clock.now() + Duration::MAX),
        node_count: 1,
        node_index: 0,
    });
    Arc::new(handle)
}

#[test]
fn drop_frees_dispatch_not_taken() {
    let clock = Clock::real();
    let handle = handle_with_one_slot(&clock);
    let entry = EntryId::of("advisor");
    let info = |id| {
        RequestInfo::new(RequestId(id), OrganisationId::of("shop"), entry)
            .deadline(clock.now() + Duration::from_mins(1))
    };
    let (mut first, decision) = handle.submit(info(1));
    let Decision::Dispatch(dispatch) = decision else {
        panic!("not dispatched: {decision:?}");
    };
    first.record_attempt(dispatch.attempt);
    let (second, decision) = handle.submit(info(2));
    assert!(matches!(decision, Decision::Wait(_)), "{decision:?}");
    drop(first);
    let poll = Arc::clone(&handle).run();
    let polled = task::block_on(clock.timeout(Duration::from_millis(50), poll));
    assert_eq!(polled, None);
    drop(second);
    assert_eq!(handle.with(|traffic, _| traffic.open_requests()), 0);
}
