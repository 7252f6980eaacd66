//! The state machine of the control decisions.

mod demand;
mod group;
mod job;
mod jobs;
mod members;
mod orders;
mod plan;
mod repair;
mod slots;
mod standby;
mod store;
mod transactions;
mod view;
mod vms;
mod watch;

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use tanagerhub_catalogue::{Catalogue, EntryId, GroupId, NodeId, VmId};
use tanagerhub_clock::Moment;

use crate::decision::{Decision, Decisions, Reason, Subject};
use crate::{FleetAction, FleetCounters, FleetEvent, FleetSettings, FleetStatus, GroupView, Peer};

use group::Group;
use jobs::Jobs;
use store::Store;
use vms::Vms;

/// How long the moment at which a node was last live is kept after the node left.
const LEFT_NODE_RETENTION: Duration = Duration::from_hours(1);

/// Makes the control decisions of one node on all groups.
///
/// It reads no clock and does no I/O: each event comes with the present moment, and the caller
/// carries out the returned actions. Moments must not run backwards.
///
/// # Examples
///
/// ```
/// use tanagerhub_catalogue::{DataCentreId, NodeId};
/// use tanagerhub_clock::Moment;
/// use tanagerhub_fleet::{Fleet, FleetAction, FleetEvent, FleetSettings, Peer, RowQuery};
///
/// let (node, data_centre) = (NodeId::of("10.0.0.1:7100"), DataCentreId::of("tbs-a"));
/// let mut fleet = Fleet::new(FleetSettings::default().node(node, data_centre), 1);
/// fleet.on_event(Moment::ZERO, FleetEvent::Peers(vec![Peer { node, data_centre }]));
/// let actions = fleet.on_event(Moment::from_millis(100), FleetEvent::Tick);
/// assert!(matches!(
///     actions.as_slice(),
///     [FleetAction::Read { query: RowQuery::Prefix("group/"), .. }]
/// ));
/// ```
#[derive(Debug)]
pub struct Fleet {
    settings: FleetSettings,
    rng: ChaCha8Rng,
    catalogue: Arc<Catalogue>,
    vms: Vms,
    peers: Vec<Peer>,
    /// The moment at which each node that left was last listed as live.
    last_live: BTreeMap<NodeId, Moment>,
    groups: BTreeMap<GroupId, Group>,
    jobs: Jobs,
    store: Store,
    planner: plan::Planner,
    /// Entries of which a group broke recently, with the moment at which it did.
    expected_promotions: BTreeMap<EntryId, Moment>,
    last_event: Moment,
    decisions: Decisions,
    counters: FleetCounters,
    actions: Vec<FleetAction>,
}

impl Fleet {
    /// Creates a state machine without groups, VMs or peers; `seed` makes its random choices
    /// reproducible.
    #[must_use]
    pub fn new(settings: FleetSettings, seed: u64) -> Self {
        let decisions = Decisions::new(settings.decisions);
        Self {
            settings,
            rng: ChaCha8Rng::seed_from_u64(seed),
            catalogue: Arc::default(),
            vms: Vms::default(),
            peers: Vec::new(),
            last_live: BTreeMap::new(),
            groups: BTreeMap::new(),
            jobs: Jobs::default(),
            store: Store::default(),
            planner: plan::Planner::default(),
            expected_promotions: BTreeMap::new(),
            last_event: Moment::ZERO,
            decisions,
            counters: FleetCounters::default(),
            actions: Vec::new(),
        }
    }

    /// Handles an event at the moment `now`, and returns the actions to carry out.
    pub fn on_event(&mut self, now: Moment, event: FleetEvent) -> Vec<FleetAction> {
        self.detect_pause(now);
        let refresh = matches!(
            event,
            FleetEvent::Catalogue(_)
                | FleetEvent::Vms(_)
                | FleetEvent::Rows { .. }
                | FleetEvent::PeerRows(_)
                | FleetEvent::Committed { .. }
        );
        match event {
            FleetEvent::Tick => self.tick(now),
            FleetEvent::Catalogue(catalogue) => self.set_catalogue(catalogue),
            FleetEvent::Vms(list) => self.set_vms(now, &list),
            FleetEvent::Peers(peers) => self.set_peers(now, peers),
            FleetEvent::Rows { read, result } => self.on_rows(now, read, result),
            FleetEvent::PeerRows(rows) => self.on_peer_rows(now, &rows),
            FleetEvent::Committed {
                transaction,
                outcome,
            } => self.on_committed(now, transaction, &outcome),
            FleetEvent::Probed { vm, sent, result } => self.on_probed(now, vm, sent, result),
            FleetEvent::Attested {
                group,
                epoch,
                age,
                health,
                ..
            } => self.on_attested(now, group, epoch, age, health),
            FleetEvent::Ordered {
                vm,
                group,
                epoch,
                result,
            } => self.on_ordered(now, vm, (group, epoch), result),
            FleetEvent::BackendFailed { group, epoch } => self.on_backend_failed(now, group, epoch),
            FleetEvent::TurnedCold { group, epoch } => self.on_turned_cold(now, group, epoch),
            FleetEvent::TokenStreamed { group, epoch, at } => {
                self.on_token_streamed(now, group, epoch, at);
            }
        }
        if refresh {
            self.refresh();
        }
        std::mem::take(&mut self.actions)
    }

    /// Returns a view of each group that this node has a row or a listed service for, as of `now`.
    ///
    /// Eligibility depends on time: a caller that was paused must call this again with the present
    /// moment before it sends requests.
    pub fn groups(&self, now: Moment) -> impl Iterator<Item = GroupView> {
        self.groups.values().map(move |group| self.view(now, group))
    }

    /// Returns the view of one group as of `now`; `None` when this node has no such group.
    #[must_use]
    pub fn group(&self, now: Moment, id: GroupId) -> Option<GroupView> {
        self.groups.get(&id).map(|group| self.view(now, group))
    }

    /// Returns the recorded decisions on a subject, oldest first.
    #[must_use]
    pub fn explain(&self, subject: Subject) -> Vec<Decision> {
        self.decisions.for_subject(subject)
    }

    /// Returns the counters since the start of the process.
    #[must_use]
    pub const fn counters(&self) -> &FleetCounters {
        &self.counters
    }

    /// Returns the state of all groups as of `now`, for the state dump and for operators.
    #[must_use]
    pub fn status(&self, now: Moment) -> FleetStatus {
        self.build_status(now)
    }

    fn tick(&mut self, now: Moment) {
        self.check_promotions(now);
        self.read_groups(now);
        self.watch(now);
        self.advance_jobs(now);
        self.plan(now);
    }

    /// Detects a pause of this process from the time since the last event. After one, the rows must
    /// be read again before this node attests a group or sends an order.
    fn detect_pause(&mut self, now: Moment) {
        let silence = now.since(self.last_event);
        self.last_event = now;
        if silence >= self.settings.pause_limit && self.store.rows_confirmed_at.is_some() {
            self.counters.pauses += 1;
            self.store.rows_confirmed_at = None;
            self.store.next_read_at = Moment::ZERO;
            self.discard_probes();
        }
    }

    fn set_catalogue(&mut self, catalogue: Arc<Catalogue>) {
        if catalogue.version < self.catalogue.version {
            return;
        }
        self.vms.set_marks(&catalogue);
        self.catalogue = catalogue;
    }

    fn set_peers(&mut self, now: Moment, mut peers: Vec<Peer>) {
        peers.sort_unstable();
        peers.dedup();
        if peers == self.peers {
            return;
        }
        for peer in &self.peers {
            self.last_live.insert(peer.node, now);
        }
        self.last_live
            .retain(|_, seen| now.since(*seen) < LEFT_NODE_RETENTION);
        self.peers = peers;
        for group in self.groups.values_mut() {
            group.update_watch_rank(&self.settings, &self.peers);
        }
        self.update_planner_rank();
    }

    fn record(
        &mut self,
        now: Moment,
        entry: Option<EntryId>,
        group: Option<GroupId>,
        vm: Option<VmId>,
        reason: Reason,
    ) {
        self.decisions.record(Decision {
            at: now,
            entry,
            group,
            vm,
            reason,
        });
    }

    /// Records a decision on a group, without a VM.
    fn record_group_decision(&mut self, now: Moment, id: GroupId, reason: Reason) {
        let entry = self.groups.get(&id).map(|group| group.row.entry);
        self.record(now, entry, Some(id), None, reason);
    }

    /// Returns the interval between two reads of all group rows, which grows with their number.
    fn read_interval(&self) -> Duration {
        let share = self
            .settings
            .read_share
            .saturating_mul(self.store.row_count);
        self.settings.read_every.max(share)
    }
}
