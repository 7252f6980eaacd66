//! A simulation of one node's traffic with a few groups.

use std::sync::Arc;
use std::time::Duration;

use tanagerhub_catalogue::{
    Catalogue, Class, ColdLimit, DataCentreId, Entry, EntryId, EntryKind, Epoch, GroupId, Limits,
    NodeId, Organisation, OrganisationId, OrganisationLimits, RequestId, ServiceEntry,
};
use tanagerhub_clock::Moment;
use tanagerhub_traffic::{
    AttemptEvent, AttemptKey, Decision, Dispatch, Freshness, Next, Refusal, Repeat, RequestInfo,
    Route, RouteTable, Traffic, TrafficSettings,
};

pub const ENTRY: &str = "advisor";
pub const SHOP: &str = "shop";
pub const RIVAL: &str = "rival";

/// The traffic of one node, its routes and its clock.
#[derive(Debug)]
pub struct TrafficSimulation {
    pub traffic: Traffic,
    pub now: Moment,
    pub table: RouteTable,
    next_id: u64,
}

pub fn limits() -> Limits {
    Limits {
        concurrency: 4,
        queue: 16,
        cold: ColdLimit { concurrency: 1 },
        ..Limits::default()
    }
}

pub fn entry(limits: Limits) -> Entry {
    Entry {
        name: ENTRY.to_owned(),
        owner: "fit".to_owned(),
        class: Class::Interactive,
        limits,
        kind: EntryKind::Service(ServiceEntry {
            routes: Vec::new(),
            deduplicates: false,
        }),
    }
}

pub fn organisation(name: &str, weight: u32, limits: OrganisationLimits) -> Organisation {
    Organisation {
        name: name.to_owned(),
        weight,
        keys: Vec::new(),
        limits,
    }
}

pub fn route(group: u64) -> Route {
    let port = 9_000 + u16::try_from(group).unwrap();
    let address = ([127, 0, 0, 1], port).into();
    let mut route = Route::new(GroupId(group), Epoch(1), EntryId::of(ENTRY), address);
    route.data_centre = DataCentreId::of("tbs-a");
    route
}

impl TrafficSimulation {
    /// Creates a node that accepts requests, with this many warm groups.
    pub fn new(groups: u64) -> Self {
        Self::with_limits(
            groups,
            limits(),
            vec![
                organisation(SHOP, 1, OrganisationLimits::default()),
                organisation(RIVAL, 1, OrganisationLimits::default()),
            ],
        )
    }

    pub fn with_limits(groups: u64, limits: Limits, organisations: Vec<Organisation>) -> Self {
        let now = Moment::from_millis(1_000);
        let settings = TrafficSettings::default()
            .node(NodeId::of("n1"), DataCentreId::of("tbs-a"))
            .moves_streams(true);
        let mut traffic = Traffic::new(settings, 7);
        let catalogue = Catalogue {
            entries: vec![entry(limits)],
            organisations,
            ..Catalogue::default()
        };
        traffic.apply_catalogue(now, &Arc::new(catalogue));
        let table = RouteTable {
            routes: (1..=groups).map(route).collect(),
        };
        let mut simulation = Self {
            traffic,
            now,
            table,
            next_id: 0,
        };
        simulation.set_fresh(true);
        simulation.apply_routes();
        simulation
    }

    pub fn set_fresh(&mut self, takes_work: bool) {
        let view = Freshness {
            takes_work,
            live_nodes: 1,
            place: 0,
        };
        self.traffic.apply_freshness(self.now, view);
    }

    /// Applies the routes in `table` to the traffic.
    pub fn apply_routes(&mut self) {
        self.traffic.apply_routes(self.now, self.table.clone());
    }

    pub fn advance(&mut self, millis: u64) {
        self.now = self.now + Duration::from_millis(millis);
    }

    pub fn info(&mut self, organisation: &str) -> RequestInfo {
        self.next_id += 1;
        RequestInfo::new(
            RequestId(self.next_id),
            OrganisationId::of(organisation),
            EntryId::of(ENTRY),
        )
        .deadline(self.now + Duration::from_secs(30))
        .repeat(Repeat::Resume)
        .tokens(16, 100)
    }

    pub fn submit(&mut self, info: RequestInfo) -> Decision {
        self.traffic.submit(self.now, info)
    }

    /// Submits a request that must be dispatched at once.
    pub fn submit_dispatched(&mut self, info: RequestInfo) -> Dispatch {
        match self.submit(info) {
            Decision::Dispatch(dispatch) => dispatch,
            other => panic!("not dispatched: {other:?}"),
        }
    }

    /// Submits a request that must be refused.
    pub fn submit_refused(&mut self, info: RequestInfo) -> Refusal {
        match self.submit(info) {
            Decision::Refuse(refusal) => refusal,
            other => panic!("not refused: {other:?}"),
        }
    }

    pub fn report(&mut self, attempt: AttemptKey, event: AttemptEvent) -> Next {
        self.traffic.report(self.now, attempt, event)
    }

    /// Reports an event that must lead to a retry.
    pub fn report_retried(&mut self, attempt: AttemptKey, event: AttemptEvent) -> Dispatch {
        match self.report(attempt, event) {
            Next::Retry(dispatch) => dispatch,
            other => panic!("not retried: {other:?}"),
        }
    }

    /// Reports an event that must end the request with an error.
    pub fn report_failed(&mut self, attempt: AttemptKey, event: AttemptEvent) -> Refusal {
        match self.report(attempt, event) {
            Next::Fail(refusal) => refusal,
            other => panic!("not failed: {other:?}"),
        }
    }

    pub fn poll(&mut self) -> Vec<(RequestId, Decision)> {
        self.traffic.poll(self.now)
    }

    /// Fills all groups to their limits. Returns the dispatches.
    pub fn fill_groups(&mut self) -> Vec<Dispatch> {
        let mut filled = Vec::new();
        loop {
            let info = self.info(SHOP);
            match self.submit(info) {
                Decision::Dispatch(dispatch) => {
                    self.report(dispatch.attempt, AttemptEvent::FirstByte);
                    filled.push(dispatch);
                }
                Decision::Wait(_) => {
                    assert!(self.traffic.cancel_waiting(RequestId(self.next_id)));
                    return filled;
                }
                Decision::Refuse(refusal) => panic!("refused: {refusal:?}"),
            }
        }
    }
}
