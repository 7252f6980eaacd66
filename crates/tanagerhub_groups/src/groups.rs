//! The state machine that decides on replica groups.

mod compose;
mod demand;
mod dissolve;
mod group;
mod group_rows;
mod join_check;
mod lifecycle;
mod link_doubt;
mod members;
mod model_status;
mod order_tries;
mod peer_view;
mod planner;
mod probe;
mod reassign;
mod rebalance;
mod repair;
mod restore;
mod silence;
mod spares;
mod stage;
mod stray;
mod takeover;
mod term;
mod view;
mod vm_entry;
mod vms;

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use tanagerhub_catalogue::{DataCentreId, Epoch, GroupId, VmId};
use tanagerhub_clock::Moment;

use crate::load_limit::LoadMeter;
use crate::{Decision, Demand, EngineSpec, GroupsAction, GroupsEvent, GroupsSettings, VmReport};

use demand::DemandView;
use group::Group;
use link_doubt::LinkDoubt;
use planner::Planner;
use probe::OutageProbeBudget;
use rebalance::Rebalance;
use term::ActiveTerm;
use vms::Vms;

pub use model_status::ModelStatus;
pub(crate) use term::TERM_GAP;
pub use term::{TERM_LENGTH, TermRow};
pub use view::{GroupStatus, Head, Reach, VmStatus};

/// The state machine with which one node decides on all replica groups.
///
/// It reads no clock and does no I/O. Each event comes with the current time, and the response is
/// the list of actions to carry out. The time must never decrease.
///
/// # Examples
///
/// ```
/// use tanagerhub_clock::Moment;
/// use tanagerhub_groups::{
///     Groups, GroupsAction, GroupsEvent, GroupsSettings, KnownBoots, TermRow,
/// };
/// use tanagerhub_table::RowKey;
///
/// let mut groups = Groups::new(GroupsSettings::default().boot(7), 1);
/// let boots = KnownBoots::default();
/// let key = RowKey::in_table("nodes", "node-a");
/// let row = TermRow { key, value: Vec::new(), guarantors: Vec::new() };
/// let event = GroupsEvent::BecomePlanner { boots, row };
/// let actions = groups.on_event(Moment::ZERO, event);
/// assert_eq!(actions, [GroupsAction::ReadRows]);
/// ```
#[derive(Debug)]
pub struct Groups {
    settings: GroupsSettings,
    rng: ChaCha8Rng,
    engines: Vec<EngineSpec>,
    evacuated: BTreeSet<DataCentreId>,
    vms: Vms,
    by_id: BTreeMap<GroupId, Group>,
    /// Groups whose rows can't be decoded. They are left as they are: their VMs are not free.
    unreadable: BTreeSet<GroupId>,
    planner: Planner,
    load_meter: LoadMeter,
    demand: DemandView,
    rebalance: Rebalance,
    /// Whether requests arrive. Loads are then slow and expensive, and are rate-limited.
    in_use: bool,
    /// Whether the store is unreachable, so that the VMs have to be probed instead.
    store_unreachable: bool,
    /// The number of nodes that probe the same VMs, including this one.
    node_count: usize,
    /// The remaining budget of probes while the store is unreachable.
    outage_probes: OutageProbeBudget,
    /// Groups with a member that became unreachable, until the caller takes them.
    degraded: Vec<(GroupId, Epoch)>,
    links: LinkDoubt,
    /// The VMs whose reports a join or a change of a group waits for.
    awaited: BTreeSet<VmId>,
    /// Whether VMs were not asked because of the number of probes in flight.
    asks_wait: bool,
    /// Counts the events after which the VMs' states may differ.
    revision: u64,
    decisions: Vec<Decision>,
    actions: Vec<GroupsAction>,
}

impl Groups {
    /// Creates the state of a node that knows no VMs and no groups. `seed` makes its random choices
    /// reproducible.
    #[must_use]
    pub fn new(settings: GroupsSettings, seed: u64) -> Self {
        Self {
            rng: ChaCha8Rng::seed_from_u64(seed),
            engines: Vec::new(),
            evacuated: BTreeSet::new(),
            vms: Vms::default(),
            by_id: BTreeMap::new(),
            unreadable: BTreeSet::new(),
            planner: Planner::default(),
            load_meter: LoadMeter::default(),
            demand: DemandView::default(),
            rebalance: Rebalance::default(),
            in_use: !settings.first_start,
            store_unreachable: false,
            node_count: 1,
            outage_probes: OutageProbeBudget::default(),
            degraded: Vec::new(),
            links: LinkDoubt::default(),
            awaited: BTreeSet::new(),
            asks_wait: false,
            revision: 0,
            decisions: Vec::new(),
            actions: Vec::new(),
            settings,
        }
    }

    /// Handles an event, and returns the actions for the caller to carry out.
    pub fn on_event(&mut self, now: Moment, event: GroupsEvent) -> Vec<GroupsAction> {
        self.revision += u64::from(event.concerns_vms());
        match event {
            GroupsEvent::Tick => self.tick(now),
            GroupsEvent::Engines(engines) => self.engines = engines,
            GroupsEvent::Evacuated(centres) => self.evacuated = centres.into_iter().collect(),
            GroupsEvent::AllVms(reports) => {
                let changes = self.vms.replace_all(now, reports);
                self.decisions.extend(changes);
            }
            GroupsEvent::VmChanged(report) => {
                let change = self.vms.upsert(now, report);
                self.decisions.extend(change);
            }
            GroupsEvent::VmRemoved(vm) => self.vm_removed(now, vm),
            GroupsEvent::Demand(demand) => self.apply_demand(now, demand),
            GroupsEvent::InUse => self.in_use = true,
            GroupsEvent::StoreUnreachable => self.store_unreachable = true,
            GroupsEvent::StoreReachable => {
                self.store_unreachable = false;
                self.vms.start_relist_grace(now, &self.settings);
            }
            GroupsEvent::PeersReplied { vm, seen } => self.peers_replied(now, vm, seen),
            GroupsEvent::NodeCount(count) => self.node_count = count,
            GroupsEvent::StoreReturned(restored_at) => self.store_returned(restored_at),
            GroupsEvent::EraObserved(restored_at) => self.era_observed(restored_at),
            GroupsEvent::BecomePlanner { boots, row } => self.become_planner(now, boots, row),
            GroupsEvent::RenewTerm(row) => self.set_term_row(now, row),
            GroupsEvent::Promised { asked_at, by } => self.apply_promises(asked_at, &by),
            GroupsEvent::Consented { asked_at, wait } => self.consent_answered(now, asked_at, wait),
            GroupsEvent::ResignPlanner => self.resign_planner(now),
            GroupsEvent::RowsRead(page) => self.apply_read(now, page),
            GroupsEvent::Committed { id, answer } => self.apply_commit(now, id, answer),
            GroupsEvent::Ordered { vm, order, result } => self.order_done(now, vm, &order, result),
            GroupsEvent::Probed { vm, sent, result } => self.probe_done(now, vm, sent, result),
            GroupsEvent::Leaving { vm, started_ms } => self.vms.record_leaving(vm, started_ms),
            GroupsEvent::Suspected { group, epoch } => self.suspected(now, group, epoch),
        }
        std::mem::take(&mut self.actions)
    }

    /// Returns a number that changes whenever [`heads`](Self::heads) or [`reach`](Self::reach) may
    /// have changed.
    #[must_use]
    pub const fn revision(&self) -> u64 {
        self.revision
    }

    /// Returns whether this node may give orders and change groups now: it is the planner, and its term
    /// lasts.
    #[must_use]
    pub fn may_plan(&self, now: Moment) -> bool {
        self.active_term(now).is_some()
    }

    /// Returns the time until this node's term as the planner ends, unless it is renewed; zero without
    /// one.
    #[must_use]
    pub fn term_remaining(&self, now: Moment) -> Duration {
        let term = self.active_term(now);
        term.map_or(Duration::ZERO, |term| term.ends_at().since(now))
    }

    /// Returns whether this node is the planner, as far as it knows. Its term may have ended.
    #[must_use]
    pub const fn is_planning(&self) -> bool {
        self.planner.is_held()
    }

    /// Returns whether the presence row is written with the planner's row, by
    /// [`GroupsEvent::RenewTerm`].
    #[must_use]
    pub const fn writes_presence(&self) -> bool {
        self.planner.writes_presence()
    }

    /// Returns whether this node may promise to another one that it doesn't begin to plan.
    #[must_use]
    pub const fn may_promise(&self) -> bool {
        !self.planner.is_held() && !self.planner.is_taking_over()
    }

    /// Ends this node's term for a node that the store serves, unless the store has renewed it lately.
    /// Returns the time after which no order of the term is under way; `None` if the term goes on.
    pub fn yield_term(&mut self, now: Moment) -> Option<Duration> {
        self.planner.term.yield_to_other(now)
    }

    /// Returns the last report of a VM, from the store or from a probe; `None` if the VM is
    /// unknown.
    #[must_use]
    pub fn report(&self, vm: VmId) -> Option<&VmReport> {
        self.vms.get(vm).map(|entry| &entry.report)
    }

    /// Takes the groups, with their epochs, of which a member became unreachable since the last
    /// call.
    pub fn take_degraded(&mut self) -> Vec<(GroupId, Epoch)> {
        std::mem::take(&mut self.degraded)
    }

    /// Takes the groups, with their epochs, that lost a member since the last call: it ended or was
    /// silent for too long, restarted, or was removed without notice.
    ///
    /// While this node's own links may have failed, losses wait; a VM that responds to a later
    /// probe was not lost.
    pub fn take_lost_groups(&mut self) -> Vec<(GroupId, Epoch)> {
        if !self.vms.has_lost_groups() || self.are_links_in_doubt() {
            return Vec::new();
        }
        self.vms
            .take_lost_groups(self.links.cut_off_until, &self.settings)
    }

    /// Takes the decisions made since the last call.
    pub fn take_decisions(&mut self) -> Vec<Decision> {
        std::mem::take(&mut self.decisions)
    }

    fn tick(&mut self, now: Moment) {
        let has_changed = self.vms.drop_removed(now);
        self.revision += u64::from(has_changed);
        self.probe_members(now);
        self.settle_link_doubt(now);
        self.resign_if_cut_off(now);
        if !self.planner.is_held() || self.store_unreachable {
            self.suspend_rebalance(now);
        }
        if !self.planner.is_held() {
            return;
        }
        self.retake_planner(now);
        self.read_back_again(now);
        self.renew_term(now);
        self.ask_promises(now);
        self.record_term_change(now);
        if let Some(term) = self.active_term(now) {
            self.ask_peers(now);
            self.plan(now, term);
        }
    }

    /// Gives the orders and sends the changes that are due.
    fn plan(&mut self, now: Moment, term: ActiveTerm) {
        self.tell_ignored_orders(now);
        self.advance_groups(now, term);
        // The target composition of a domain depends on its number of VMs, so staging waits until
        // VMs that start together are listed.
        if self.in_use || !self.vms.are_arriving(now) {
            self.stage_models(now, term);
        }
        self.plan_changes(now, term);
    }

    fn apply_demand(&mut self, now: Moment, demand: Demand) {
        let changed = self.demand.apply(now, demand);
        if !self.planner.is_held() {
            return;
        }
        for (entry, short) in changed {
            let mut models = self.engines.iter().flat_map(|engine| &engine.models);
            if let Some(model) = models.find(|model| model.entry == entry) {
                let decision = Decision::Shortage {
                    model: model.name.clone(),
                    short,
                    missed_percent: percent(self.demand.missed_share(entry)),
                };
                self.record(decision);
            }
        }
    }

    fn record(&mut self, decision: Decision) {
        self.decisions.push(decision);
    }
}

/// Returns a share from 0 to 1 in percent.
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "a share is neither negative nor large"
)]
fn percent(share: f64) -> u64 {
    (share * 100.0).round() as u64
}
