//! Traffic with the groups of one service named `advisor`.

use std::sync::Arc;
use std::time::Duration;

use tanagerhub_catalogue::{
    Catalogue, Class, Entry, EntryId, EntryKind, Epoch, GroupId, Limits, ServiceEntry,
};
use tanagerhub_clock::Moment;
use tanagerhub_traffic::{Freshness, Route, RouteTable, Selection, Traffic, TrafficSettings};

/// Settings under which each request goes to the least loaded group, without hedges.
pub fn settings() -> TrafficSettings {
    TrafficSettings {
        selection: Selection::LeastLoaded,
        first_window: u32::MAX,
        hedges: false,
        ..TrafficSettings::default()
    }
}

/// Creates the traffic of the only node. Each route is a group id, its slots and its limit of
/// starts per second.
pub fn traffic(
    now: Moment,
    settings: TrafficSettings,
    routes: &[(u64, u32, Option<u32>)],
) -> Traffic {
    let mut traffic = Traffic::new(settings, 1);
    let entry = Entry {
        name: "advisor".to_owned(),
        owner: String::new(),
        class: Class::Interactive,
        limits: Limits {
            queue: 1_000,
            first_byte_timeout: Duration::from_mins(1),
            ..Limits::default()
        },
        kind: EntryKind::Service(ServiceEntry {
            routes: Vec::new(),
            deduplicates: false,
        }),
    };
    let catalogue = Arc::new(Catalogue {
        entries: vec![entry],
        ..Catalogue::default()
    });
    traffic.apply_catalogue(now, &catalogue);
    let fresh = Freshness {
        takes_work: true,
        live_nodes: 1,
        place: 0,
    };
    traffic.apply_freshness(now, fresh);
    let route = |(group, slots, starts): &(u64, u32, Option<u32>)| {
        let address = format!("127.0.0.1:{}", 9_000 + group).parse().unwrap();
        let entry = EntryId::of("advisor");
        let mut route = Route::new(GroupId(*group), Epoch(1), entry, address);
        route.slots = Some(*slots);
        route.starts = *starts;
        route
    };
    let routes = routes.iter().map(route).collect();
    traffic.apply_routes(now, RouteTable { routes });
    traffic
}
