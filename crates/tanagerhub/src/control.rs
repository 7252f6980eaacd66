//! The control thread: owns the group and membership decisions.

mod action_executor;
mod facts;
mod names;
mod operations;
mod status;

use std::sync::Arc;
use std::time::Duration;

use async_channel::{Receiver, Sender};
use futures_lite::future;
use tanagerhub_catalogue::{BootId, Catalogue, NodeId, Vm};
use tanagerhub_clock::{Clock, Moment};
use tanagerhub_fleet::{Fleet, FleetAction, FleetEvent, GroupView, Health, Peer};
use tanagerhub_membership::{
    AgedFact, Fact, Membership, MembershipAction, MembershipEvent, PeerResponse,
};
use tanagerhub_traffic::{Route, RouteTable};

use crate::claim_handle::ClaimHandle;
use crate::control_event::ControlEvent;
use crate::fleet_copy::FleetCopy;
use crate::snapshot::Snapshot;
use crate::traffic_handle::TrafficHandle;

pub(crate) use action_executor::{ActionExecutor, PendingPeerRequests, receive_peers};
use operations::Operations;

/// The time between two ticks of the group and membership decisions.
const TICK_PERIOD: Duration = Duration::from_millis(100);
/// The time between two reads of the platform's list of VMs.
const VM_LIST_PERIOD: Duration = Duration::from_secs(2);
/// The time between two requests for a peer's group rows and VMs.
const FLEET_COPY_PERIOD: Duration = Duration::from_secs(2);
/// The state owned by the control thread.
#[derive(Debug)]
pub(crate) struct Control {
    pub(crate) node: NodeId,
    pub(crate) boot: BootId,
    pub(crate) clock: Clock,
    pub(crate) fleet: Fleet,
    pub(crate) membership: Membership,
    pub(crate) executor: ActionExecutor,
    pub(crate) traffic: Arc<TrafficHandle>,
    pub(crate) claims: Arc<ClaimHandle>,
    pub(crate) view: ControlView,
}

/// The control thread's view of the platform and the peers.
#[derive(Debug, Default)]
pub(crate) struct ControlView {
    catalogue: Arc<Catalogue>,
    vms: Vec<Vm>,
    last_vms_read: Option<Moment>,
    vms_read_pending: bool,
    generation: u64,
    peers: Vec<Peer>,
    last_fleet_copy_request: Option<Moment>,
    fleet_copy_request_count: usize,
    draining: bool,
    operations: Operations,
}

impl Control {
    /// Handles events and ticks until [`ControlEvent::Stop`].
    pub(crate) async fn run(mut self, events: Receiver<ControlEvent>) {
        let mut next_tick = self.clock.now();
        loop {
            let now = self.clock.now();
            if now >= next_tick {
                next_tick = now + TICK_PERIOD;
                self.tick(now);
            }
            let event = async { Step::Event(events.recv().await.unwrap_or(ControlEvent::Stop)) };
            let tick = async {
                self.clock.sleep(next_tick.since(now)).await;
                Step::Tick
            };
            match future::or(event, tick).await {
                Step::Event(ControlEvent::Stop) => return,
                Step::Event(event) => self.handle_event(event),
                Step::Tick => {}
            }
        }
    }

    fn tick(&mut self, now: Moment) {
        self.read_vms(now);
        self.share_crashes(now);
        let load = self.traffic.with(|traffic, _| traffic.open_requests());
        let load = u16::try_from(load).unwrap_or(u16::MAX);
        self.apply_membership_event(now, MembershipEvent::Load(load));
        self.apply_membership_event(now, MembershipEvent::Tick);
        self.update_peers(now);
        self.request_fleet_copy(now);
        self.apply_fleet_event(now, FleetEvent::Tick);
        self.publish(now);
    }

    fn handle_event(&mut self, event: ControlEvent) {
        let now = self.clock.now();
        match event {
            ControlEvent::Fleet(event) => self.apply_fleet_event(now, event),
            ControlEvent::Membership(event) => self.apply_membership_event(now, event),
            ControlEvent::Vms(vms) => self.set_vms(now, vms),
            ControlEvent::VmsReadFailed => self.view.vms_read_pending = false,
            ControlEvent::FleetCopyRequested(respond_to) => self.send_fleet_copy(&respond_to),
            ControlEvent::FleetCopyReceived(copy) => self.apply_fleet_copy(now, copy),
            ControlEvent::Traffic { at, observations } => self.observe(now, at, observations),
            ControlEvent::Operator { call, respond_to } => self.handle_call(now, call, &respond_to),
            ControlEvent::Drain => {
                self.view.draining = true;
                self.apply_membership_event(now, MembershipEvent::Leaving);
            }
            ControlEvent::Stop => {}
        }
    }

    fn apply_fleet_event(&mut self, now: Moment, event: FleetEvent) {
        let urgent = matches!(
            event,
            FleetEvent::BackendFailed { .. } | FleetEvent::TurnedCold { .. }
        );
        for action in self.fleet.on_event(now, event) {
            self.execute_fleet_action(now, action);
        }
        if urgent {
            self.publish(now);
        }
    }

    fn execute_fleet_action(&mut self, now: Moment, action: FleetAction) {
        match action {
            FleetAction::Commit(transaction) => self.executor.commit_fleet(transaction),
            FleetAction::Read { read, query } => self.executor.read_fleet(read, query),
            FleetAction::Probe { vm, address } => {
                let is_service = self.is_service(vm);
                self.executor.probe(vm, address, is_service, now);
            }
            FleetAction::Order {
                address,
                order,
                until,
            } => {
                self.executor.order(address, order, until);
            }
            FleetAction::Attest {
                group,
                epoch,
                age,
                health,
            } => {
                let attested = AgedFact {
                    fact: Fact::Attested {
                        group,
                        epoch,
                        health,
                    },
                    age,
                };
                self.apply_membership_event(now, MembershipEvent::LocalFacts(vec![attested]));
            }
        }
    }

    fn apply_membership_event(&mut self, now: Moment, event: MembershipEvent) {
        for action in self.membership.on_event(now, event) {
            self.execute_membership_action(now, action);
        }
    }

    fn execute_membership_action(&mut self, now: Moment, action: MembershipAction) {
        match action {
            MembershipAction::SendBeacon { to, beacon } => self.executor.send_beacon(to, beacon),
            MembershipAction::SendRequest {
                request_id,
                to,
                request,
            } => self.executor.send_peer_request(request_id, to, request),
            MembershipAction::SendResponse {
                request_id,
                response,
            } => self.executor.respond_to_peer(request_id, response),
            MembershipAction::Read { read, rows } => self.executor.read_membership(read, rows),
            MembershipAction::Commit(transaction) => self.executor.commit_membership(transaction),
            MembershipAction::Fetch(hash) => self.executor.fetch_object(hash),
            MembershipAction::Store { hash, body } => self.executor.store_object(hash, body),
            MembershipAction::CatalogueAdopted(catalogue) => self.set_catalogue(now, catalogue),
            MembershipAction::ApplyCompleted { operation, outcome } => {
                self.complete_change(operation, outcome);
            }
            MembershipAction::Facts(facts) => self.apply_peer_facts(now, facts),
        }
    }

    fn set_catalogue(&mut self, now: Moment, catalogue: Arc<Catalogue>) {
        log::info!(version = catalogue.version.0; "new catalogue version is in force");
        self.view.catalogue = Arc::clone(&catalogue);
        self.apply_fleet_event(now, FleetEvent::Catalogue(catalogue));
        self.publish(now);
    }

    fn set_vms(&mut self, now: Moment, vms: Vec<Vm>) {
        self.view.vms_read_pending = false;
        if vms != self.view.vms {
            self.view.vms.clone_from(&vms);
        }
        self.apply_fleet_event(now, FleetEvent::Vms(vms));
    }

    fn read_vms(&mut self, now: Moment) {
        let due = self
            .view
            .last_vms_read
            .is_none_or(|at| now.since(at) >= VM_LIST_PERIOD);
        if due && !self.view.vms_read_pending {
            self.view.last_vms_read = Some(now);
            self.view.vms_read_pending = true;
            self.executor.read_vms();
        }
    }

    /// Returns whether this node has groups and VMs that it could route to.
    fn has_fleet(&self, now: Moment) -> bool {
        !self.view.vms.is_empty() && self.fleet.groups(now).any(|group| group.epoch.0 > 0)
    }

    /// Requests group rows and VMs from a peer while the node has none from the platform.
    fn request_fleet_copy(&mut self, now: Moment) {
        let last_request = self.view.last_fleet_copy_request;
        let too_early = last_request.is_some_and(|at| now.since(at) < FLEET_COPY_PERIOD);
        if too_early || now < Moment::ZERO + FLEET_COPY_PERIOD || self.has_fleet(now) {
            return;
        }
        let peers = self.membership.peers(now);
        self.view.last_fleet_copy_request = Some(now);
        self.view.fleet_copy_request_count += 1;
        if let Some(peer) = peers.get(self.view.fleet_copy_request_count % peers.len().max(1)) {
            self.executor.request_fleet_copy(peer.address);
        }
    }

    fn send_fleet_copy(&self, respond_to: &Sender<PeerResponse>) {
        let copy = FleetCopy {
            rows: self.fleet.rows(),
            vms: self.view.vms.clone(),
        };
        drop(respond_to.try_send(PeerResponse::Fleet(copy.encode())));
    }

    fn apply_fleet_copy(&mut self, now: Moment, copy: FleetCopy) {
        if self.view.vms.is_empty() && !copy.vms.is_empty() {
            self.view.vms.clone_from(&copy.vms);
            self.apply_fleet_event(now, FleetEvent::Vms(copy.vms));
        }
        if !copy.rows.is_empty() {
            self.apply_fleet_event(now, FleetEvent::PeerRows(copy.rows));
        }
    }

    fn is_service(&self, vm: tanagerhub_catalogue::VmId) -> bool {
        let listed = self.view.vms.iter().find(|listed| listed.id() == vm);
        listed.is_some_and(|listed| listed.service.is_some())
    }

    /// Passes the live nodes to the group decisions, and their boots to the claims.
    fn update_peers(&mut self, now: Moment) {
        let live = self.membership.peers(now);
        let own = Peer {
            node: self.node,
            data_centre: self.executor.data_centre,
        };
        let others = live.iter().filter(|peer| !peer.leaving);
        let mut peers: Vec<Peer> = others
            .map(|peer| Peer {
                node: peer.node,
                data_centre: peer.data_centre,
            })
            .collect();
        if !self.view.draining {
            peers.push(own);
        }
        peers.sort_unstable();
        let boots = live
            .iter()
            .map(|peer| peer.identity.boot)
            .chain([self.boot]);
        self.claims.set_live_boots(boots.collect());
        if peers != self.view.peers {
            self.view.peers.clone_from(&peers);
            self.apply_fleet_event(now, FleetEvent::Peers(peers));
        }
    }

    /// Publishes the current state to the traffic decisions.
    fn publish(&mut self, now: Moment) {
        self.view.generation += 1;
        let routes = self
            .fleet
            .groups(now)
            .filter_map(|group| route(&group))
            .collect();
        let index = self
            .view
            .peers
            .iter()
            .position(|peer| peer.node == self.node);
        // Nodes in a minority divide limits by the size of a majority, so that both sides of a
        // partition together use at most twice the limit.
        let majority = self.membership.slot_count() / 2 + 1;
        let node_count = u32::try_from(self.view.peers.len().max(majority)).unwrap_or(u32::MAX);
        self.traffic.publish(Snapshot {
            generation: self.view.generation,
            created_at: now,
            catalogue: Arc::clone(&self.view.catalogue),
            routes: RouteTable { routes },
            fresh_until: self.membership.fresh_until(now),
            node_count,
            node_index: index
                .and_then(|index| u32::try_from(index).ok())
                .unwrap_or(node_count - 1),
            ..Snapshot::default()
        });
    }
}

enum Step {
    Event(ControlEvent),
    Tick,
}

/// Returns the route to a group; `None` while the address of its head is unknown.
fn route(group: &GroupView) -> Option<Route> {
    let address = group.members.first()?.address?;
    let mut route = Route::new(group.id, group.epoch, group.entry, address);
    route.data_centre = group.data_centre;
    route.eligible = group.eligible;
    route.attested = group.age.unwrap_or(Duration::MAX);
    route.draining = group.phase == tanagerhub_fleet::Phase::Draining;
    route.cold = (group.health != Health::Warm).then_some(group.cold_slots);
    Some(route)
}
