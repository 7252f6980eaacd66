//! The traffic decisions of one node.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};
use std::sync::Arc;
use std::time::Duration;

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use slotmap::SlotMap;
use tanagerhub_catalogue::{Catalogue, EntryId, Epoch, GroupId, OrganisationId, RequestId};
use tanagerhub_clock::Moment;

use crate::entry_state::EntryState;
use crate::groups::Groups;
use crate::in_flight::{Attempt, Request, RequestKey};
use crate::organisation_meter::OrganisationMeter;
use crate::share::ShareTracker;
use crate::{
    AttemptKey, Counters, CrashTable, Decision, Drain, DrainState, Freshness, RouteTable,
    TrafficSettings,
};

mod admission;
mod capacity_report;
mod dispatch;
mod queueing;
mod reports;
mod second_attempt;
mod self_reports;
mod shared_capacity;
mod status;
mod takeover;

use shared_capacity::SharedCapacity;
pub use status::{EntryStatus, GroupStatus, OrganisationStatus, TrafficStatus};

/// Decides on admission, routing, queueing and retries for one node.
///
/// The edge makes all calls. It calls [`poll`](Self::poll) at [`next_wakeup`](Self::next_wakeup),
/// and after each call that may free capacity of a group or change the routes:
/// [`report`](Self::report), [`apply_routes`](Self::apply_routes) and
/// [`cancel_waiting`](Self::cancel_waiting).
///
/// # Examples
///
/// ```
/// use std::sync::Arc;
/// use tanagerhub_catalogue::{
///     Catalogue, Class, Entry, EntryId, EntryKind, Epoch, GroupId, Limits, OrganisationId,
///     RequestId, ServiceEntry,
/// };
/// use tanagerhub_clock::Moment;
/// use tanagerhub_traffic::{
///     AttemptEvent, Decision, Freshness, Next, RequestInfo, Route, RouteTable, Traffic,
///     TrafficSettings,
/// };
///
/// let now = Moment::from_millis(1);
/// let advisor = Entry {
///     name: "advisor".to_owned(),
///     owner: "fit".to_owned(),
///     class: Class::Interactive,
///     limits: Limits::default(),
///     kind: EntryKind::Service(ServiceEntry { routes: Vec::new(), deduplicates: false }),
/// };
/// let catalogue = Catalogue { entries: vec![advisor], ..Catalogue::default() };
/// let entry = EntryId::of("advisor");
/// let mut traffic = Traffic::new(TrafficSettings::default(), 7);
/// traffic.apply_catalogue(now, &Arc::new(catalogue));
/// traffic.apply_freshness(now, Freshness { takes_work: true, live_nodes: 1, place: 0 });
/// let address = "127.0.0.1:9000".parse()?;
/// let route = Route::new(GroupId(1), Epoch(1), entry, address);
/// traffic.apply_routes(now, RouteTable { routes: vec![route] });
///
/// let info = RequestInfo::new(RequestId(5), OrganisationId::of("shop"), entry)
///     .deadline(Moment::from_millis(30_000));
/// let Decision::Dispatch(dispatch) = traffic.submit(now, info) else {
///     panic!("an idle group takes the request");
/// };
/// assert_eq!(dispatch.group, GroupId(1));
/// let next = traffic.report(now, dispatch.attempt, AttemptEvent::Finished { tokens: 9 });
/// assert_eq!(next, Next::Done);
/// # Ok::<(), Box<dyn std::error::Error>>(())
/// ```
#[derive(Debug)]
pub struct Traffic {
    settings: TrafficSettings,
    random: ChaCha8Rng,
    catalogue: Arc<Catalogue>,
    entries: HashMap<EntryId, EntryState>,
    organisations: HashMap<OrganisationId, OrganisationMeter>,
    weights: HashMap<OrganisationId, u32>,
    groups: Groups,
    requests: SlotMap<RequestKey, Request>,
    attempts: SlotMap<AttemptKey, Attempt>,
    waiting: HashMap<RequestId, RequestKey>,
    timers: BinaryHeap<Reverse<(Moment, Timer)>>,
    ready: Vec<(RequestId, Decision)>,
    observations: Vec<GroupObservation>,
    crashes: CrashTable,
    takes_work: bool,
    share: ShareTracker,
    drain: Drain,
    counters: Counters,
    /// The node's part in shared capacity; `None` if no route is coordinated.
    capacity: Option<SharedCapacity>,
}

/// Maximum number of observations held until the control thread takes them.
const MAX_OBSERVATIONS: usize = 4_096;

/// A timer. It has no effect if its request no longer waits or its attempt has ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Timer {
    QueueTimeout(RequestKey, u64),
    Hedge(AttemptKey),
}

/// An observation about a group, for the control thread.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum GroupObservation {
    /// The group reported a cold start, although the routes list it as warm.
    Cold {
        /// Id of the group.
        group: GroupId,
        /// Epoch of the group.
        epoch: Epoch,
    },
    /// A connection to the group failed or was closed early, or all its streams stopped sending.
    Failed {
        /// Id of the group.
        group: GroupId,
        /// Epoch of the group.
        epoch: Epoch,
    },
    /// The group sent a token, which proves that every member took part in a step.
    Responded {
        /// Id of the group.
        group: GroupId,
        /// Epoch of the group.
        epoch: Epoch,
    },
}

impl Traffic {
    /// Creates the state without catalogue, routes or fresh view; it refuses all requests until
    /// they are applied. `seed` initialises the random choice among groups.
    #[must_use]
    pub fn new(settings: TrafficSettings, seed: u64) -> Self {
        Self {
            random: ChaCha8Rng::seed_from_u64(seed),
            catalogue: Arc::default(),
            entries: HashMap::new(),
            organisations: HashMap::new(),
            weights: HashMap::new(),
            groups: Groups::new(&settings),
            requests: SlotMap::with_key(),
            attempts: SlotMap::with_key(),
            waiting: HashMap::new(),
            timers: BinaryHeap::new(),
            ready: Vec::new(),
            observations: Vec::new(),
            crashes: CrashTable::new(settings.quarantine).seed(seed),
            takes_work: false,
            share: ShareTracker::new(settings.nodes),
            drain: Drain::default(),
            counters: Counters::default(),
            capacity: None,
            settings,
        }
    }

    /// Applies a newer catalogue: entries, their limits, and the organisations' limits and weights.
    pub fn apply_catalogue(&mut self, now: Moment, catalogue: &Arc<Catalogue>) {
        self.catalogue = Arc::clone(catalogue);
        for entry in &catalogue.entries {
            let state = self
                .entries
                .entry(entry.id())
                .or_insert_with(|| EntryState::new(entry, &self.settings));
            state.limits.clone_from(&entry.limits);
            state.class = entry.class;
        }
        self.weights = catalogue
            .organisations
            .iter()
            .map(|organisation| (organisation.id(), organisation.weight))
            .collect();
        self.remove_unlisted_entries(catalogue);
        self.divide_retry_budget();
        self.configure_meters(now);
    }

    /// Applies the control thread's routes.
    ///
    /// Where the settings say so, a group that was eligible and is no longer, or has another epoch,
    /// confirms suspected crashes.
    pub fn apply_routes(&mut self, now: Moment, table: RouteTable) {
        let before: Vec<(GroupId, Epoch)> = self.eligible_groups().collect();
        self.groups.update(now, table);
        self.update_shared_servers(now);
        for (group, epoch) in before {
            if self.settings.routes_confirm && !self.is_eligible(group, epoch) {
                self.crashes.confirm(now, group, epoch);
            }
        }
    }

    /// Records that groups have lost a member, which confirms the crashes suspected there, also
    /// those of attempts without a response.
    pub fn record_losses(&mut self, now: Moment, groups: &[(GroupId, Epoch)]) {
        for (group, epoch) in groups {
            self.crashes.record_loss(now, *group, *epoch);
        }
    }

    /// Applies whether the node's view is fresh, and how many nodes share the limits.
    pub fn apply_freshness(&mut self, now: Moment, view: Freshness) {
        self.takes_work = view.takes_work;
        self.crashes.set_nodes(view.live_nodes);
        if self.share.update(now, &view) {
            self.configure_meters(now);
            self.divide_retry_budget();
        }
    }

    /// Sets the retry budget: `ratio` is the extra attempts per request, `burst` the number that
    /// may be used at once.
    pub fn set_retry_limit(&mut self, ratio: f64, burst: f64) {
        self.settings.retry_ratio = ratio;
        self.settings.retry_burst = burst;
        for entry in self.entries.values_mut() {
            entry.budget.set_ratio(ratio);
            entry.budget.set_burst(burst);
        }
        self.divide_retry_budget();
    }

    /// Begins a graceful shutdown; new requests are still accepted for `grace`.
    pub fn begin_drain(&mut self, now: Moment, grace: Duration) {
        self.drain.begin(now, grace);
    }

    /// Whether an attempt still runs, according to the reports.
    ///
    /// The edge checks this before it sends an older dispatch, whose attempt may have been
    /// cancelled in the meantime.
    #[must_use]
    pub fn is_live(&self, attempt: AttemptKey) -> bool {
        self.attempts.contains_key(attempt)
    }

    /// Returns the phase of a graceful shutdown.
    #[must_use]
    pub fn drain_state(&self, now: Moment) -> DrainState {
        self.drain.state(now, self.requests.len())
    }

    /// Returns the number of requests that wait or run.
    #[must_use]
    pub fn open_requests(&self) -> usize {
        self.requests.len()
    }

    /// Returns the table of requests that crash backend servers.
    pub const fn crash_table(&mut self) -> &mut CrashTable {
        &mut self.crashes
    }

    /// Returns the observations recorded since the last call, and clears them.
    pub fn take_observations(&mut self) -> Vec<GroupObservation> {
        std::mem::take(&mut self.observations)
    }

    /// Records that a group's cache holds a prefix (`held`) or has evicted it.
    ///
    /// Late or lost events only make routing less exact.
    pub fn apply_cache_event(&mut self, group: GroupId, prefix: u64, held: bool) {
        let Some(key) = self.groups.key(group) else {
            return;
        };
        if held {
            self.groups.prefixes.insert(prefix, key);
        } else {
            self.groups.prefixes.remove(prefix, key);
        }
    }

    /// Returns the counters since the node's start.
    #[must_use]
    pub const fn counters(&self) -> &Counters {
        &self.counters
    }

    /// Removes entries that the catalogue no longer has, once none of their requests waits or runs.
    fn remove_unlisted_entries(&mut self, catalogue: &Catalogue) {
        self.entries.retain(|id, state| {
            catalogue.entry(*id).is_some() || state.running > 0 || !state.queue.is_empty()
        });
    }

    fn configure_meters(&mut self, now: Moment) {
        let share = self.share.share();
        for organisation in &self.catalogue.organisations {
            self.organisations
                .entry(organisation.id())
                .or_default()
                .configure(now, &organisation.limits, share);
        }
        let catalogue = Arc::clone(&self.catalogue);
        self.organisations
            .retain(|id, meter| meter.active() > 0 || catalogue.organisation(*id).is_some());
    }

    /// Divides the burst of the retry budget evenly among nodes and entries, if the settings do so.
    fn divide_retry_budget(&mut self) {
        if !self.settings.shares_retries {
            return;
        }
        let entries = u32::try_from(self.entries.len()).unwrap_or(u32::MAX);
        let parts = f64::from(self.share.share().nodes.max(1)) * f64::from(entries.max(1));
        let burst = self.settings.retry_burst / parts;
        for entry in self.entries.values_mut() {
            entry.budget.set_burst(burst);
        }
    }

    /// Records an observation. When the limit is reached, the older half is dropped.
    fn record_observation(&mut self, observation: GroupObservation) {
        if self.observations.len() >= MAX_OBSERVATIONS {
            self.observations.drain(..MAX_OBSERVATIONS / 2);
        }
        self.observations.push(observation);
    }

    fn eligible_groups(&self) -> impl Iterator<Item = (GroupId, Epoch)> {
        self.groups
            .arena
            .values()
            .filter(|group| group.route.eligible)
            .map(|group| (group.route.group, group.route.epoch))
    }

    fn is_eligible(&self, group: GroupId, epoch: Epoch) -> bool {
        self.groups
            .key(group)
            .and_then(|key| self.groups.arena.get(key))
            .is_some_and(|group| group.route.eligible && group.route.epoch == epoch)
    }
}
