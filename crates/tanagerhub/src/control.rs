//! The control thread: owns the decisions on groups and nodes.

mod edges;
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
use tanagerhub_traffic::{CrashFact, GroupObservation as TrafficFact, Route, RouteTable};

use crate::claim_handle::ClaimHandle;
use crate::control_event::ControlEvent;
use crate::fleet_copy::FleetCopy;
use crate::snapshot::Snapshot;
use crate::traffic_handle::TrafficHandle;

pub(crate) use edges::{AskedPeers, Edges, receive_peers};
use operations::Operations;

/// Time between two ticks of the decisions.
const TICK: Duration = Duration::from_millis(100);
/// Time between two reads of the platform's list of VMs.
const VMS_PERIOD: Duration = Duration::from_secs(2);
/// Time between two requests for a peer's groups and VMs.
const FLEET_PERIOD: Duration = Duration::from_secs(2);
/// The age from which a peer's cold signal says nothing any more.
const COLD_SIGNAL: Duration = Duration::from_secs(2);
/// The most crashing requests told to peers at once.
const CRASHES_TOLD: usize = 64;

/// What the control thread owns.
#[derive(Debug)]
pub(crate) struct Control {
    pub(crate) node: NodeId,
    pub(crate) boot: BootId,
    pub(crate) clock: Clock,
    pub(crate) fleet: Fleet,
    pub(crate) membership: Membership,
    pub(crate) edges: Edges,
    pub(crate) traffic: Arc<TrafficHandle>,
    pub(crate) claims: Arc<ClaimHandle>,
    pub(crate) view: ControlView,
}

/// What the control thread has learnt.
#[derive(Debug, Default)]
pub(crate) struct ControlView {
    catalogue: Arc<Catalogue>,
    vms: Vec<Vm>,
    vms_read: Option<Moment>,
    vms_asked: bool,
    generation: u64,
    peers: Vec<Peer>,
    fleet_asked: Option<Moment>,
    fleet_asks: usize,
    draining: bool,
    operations: Operations,
}

impl Control {
    /// Takes in events until the node ends.
    pub(crate) async fn run(mut self, events: Receiver<ControlEvent>) {
        let mut next_tick = self.clock.now();
        loop {
            let now = self.clock.now();
            if now >= next_tick {
                next_tick = now + TICK;
                self.tick(now);
            }
            let event = async { Step::Event(events.recv().await.unwrap_or(ControlEvent::Stop)) };
            let tick = async {
                self.clock.sleep(next_tick.since(now)).await;
                Step::Tick
            };
            match future::or(event, tick).await {
                Step::Event(ControlEvent::Stop) => return,
                Step::Event(event) => self.take_in(event),
                Step::Tick => {}
            }
        }
    }

    fn tick(&mut self, now: Moment) {
        self.read_vms(now);
        self.share_crashes(now);
        let load = self.traffic.with(|traffic, _| traffic.open_requests());
        let load = u16::try_from(load).unwrap_or(u16::MAX);
        self.membership_event(now, MembershipEvent::Load(load));
        self.membership_event(now, MembershipEvent::Tick);
        self.follow_peers(now);
        self.ask_fleet(now);
        self.fleet_event(now, FleetEvent::Tick);
        self.publish(now);
    }

    fn take_in(&mut self, event: ControlEvent) {
        let now = self.clock.now();
        match event {
            ControlEvent::Fleet(event) => self.fleet_event(now, event),
            ControlEvent::Membership(event) => self.membership_event(now, event),
            ControlEvent::Vms(vms) => self.set_vms(now, vms),
            ControlEvent::VmsFailed => self.view.vms_asked = false,
            ControlEvent::FleetAsked(reply) => self.tell_fleet(&reply),
            ControlEvent::FleetHeard(copy) => self.learn_fleet(now, copy),
            ControlEvent::TrafficFacts { at, facts } => self.traffic_facts(now, at, facts),
            ControlEvent::Operator { call, reply } => self.operator_call(now, call, &reply),
            ControlEvent::Drain => {
                self.view.draining = true;
                self.membership_event(now, MembershipEvent::Leaving);
            }
            ControlEvent::Stop => {}
        }
    }

    fn fleet_event(&mut self, now: Moment, event: FleetEvent) {
        let urgent = matches!(
            event,
            FleetEvent::BackendFailed { .. } | FleetEvent::TurnedCold { .. }
        );
        for action in self.fleet.on_event(now, event) {
            self.fleet_action(now, action);
        }
        if urgent {
            self.publish(now);
        }
    }

    fn fleet_action(&mut self, now: Moment, action: FleetAction) {
        match action {
            FleetAction::Commit(transaction) => self.edges.commit_fleet(transaction),
            FleetAction::Read { read, query } => self.edges.read_fleet(read, query),
            FleetAction::Probe { vm, address } => {
                let is_service = self.is_service(vm);
                self.edges.probe(vm, address, is_service, now);
            }
            FleetAction::Order {
                address,
                order,
                until,
            } => {
                self.edges.order(address, order, until);
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
                self.membership_event(now, MembershipEvent::LocalFacts(vec![attested]));
            }
        }
    }

    fn membership_event(&mut self, now: Moment, event: MembershipEvent) {
        for action in self.membership.on_event(now, event) {
            self.membership_action(now, action);
        }
    }

    fn membership_action(&mut self, now: Moment, action: MembershipAction) {
        match action {
            MembershipAction::SendBeacon { to, beacon } => self.edges.send_beacon(to, beacon),
            MembershipAction::SendRequest {
                request_id,
                to,
                request,
            } => self.edges.ask_peer(request_id, to, request),
            MembershipAction::SendResponse {
                request_id,
                response,
            } => self.edges.reply_peer(request_id, response),
            MembershipAction::Read { read, rows } => self.edges.read_membership(read, rows),
            MembershipAction::Commit(transaction) => self.edges.commit_membership(transaction),
            MembershipAction::Fetch(hash) => self.edges.fetch(hash),
            MembershipAction::Store { hash, body } => self.edges.store(hash, body),
            MembershipAction::CatalogueAdopted(catalogue) => self.set_catalogue(now, catalogue),
            MembershipAction::ApplyCompleted { operation, outcome } => {
                self.apply_answered(operation, outcome);
            }
            MembershipAction::Facts(facts) => self.peer_facts(now, facts),
        }
    }

    fn set_catalogue(&mut self, now: Moment, catalogue: Arc<Catalogue>) {
        log::info!(version = catalogue.version.0; "a catalogue is in force");
        self.view.catalogue = Arc::clone(&catalogue);
        self.fleet_event(now, FleetEvent::Catalogue(catalogue));
        self.publish(now);
    }

    fn set_vms(&mut self, now: Moment, vms: Vec<Vm>) {
        self.view.vms_asked = false;
        if vms != self.view.vms {
            self.view.vms.clone_from(&vms);
        }
        self.fleet_event(now, FleetEvent::Vms(vms));
    }

    fn read_vms(&mut self, now: Moment) {
        let due = self
            .view
            .vms_read
            .is_none_or(|at| now.since(at) >= VMS_PERIOD);
        if due && !self.view.vms_asked {
            self.view.vms_read = Some(now);
            self.view.vms_asked = true;
            self.edges.read_vms();
        }
    }

    /// Whether this node knows groups and VMs that it could route to.
    fn knows_fleet(&self, now: Moment) -> bool {
        !self.view.vms.is_empty() && self.fleet.groups(now).any(|group| group.epoch.0 > 0)
    }

    /// Asks a peer for groups and VMs while the platform has not told them.
    fn ask_fleet(&mut self, now: Moment) {
        let asked = self.view.fleet_asked;
        let early = asked.is_some_and(|at| now.since(at) < FLEET_PERIOD);
        if early || now < Moment::ZERO + FLEET_PERIOD || self.knows_fleet(now) {
            return;
        }
        let peers = self.membership.peers(now);
        self.view.fleet_asked = Some(now);
        self.view.fleet_asks += 1;
        if let Some(peer) = peers.get(self.view.fleet_asks % peers.len().max(1)) {
            self.edges.ask_fleet(peer.address);
        }
    }

    fn tell_fleet(&self, reply: &Sender<PeerResponse>) {
        let copy = FleetCopy {
            rows: self.fleet.rows(),
            vms: self.view.vms.clone(),
        };
        drop(reply.try_send(PeerResponse::Fleet(copy.encode())));
    }

    fn learn_fleet(&mut self, now: Moment, copy: FleetCopy) {
        if self.view.vms.is_empty() && !copy.vms.is_empty() {
            self.view.vms.clone_from(&copy.vms);
            self.fleet_event(now, FleetEvent::Vms(copy.vms));
        }
        if !copy.rows.is_empty() {
            self.fleet_event(now, FleetEvent::PeerRows(copy.rows));
        }
    }

    fn is_service(&self, vm: tanagerhub_catalogue::VmId) -> bool {
        let listed = self.view.vms.iter().find(|listed| listed.id() == vm);
        listed.is_some_and(|listed| listed.service.is_some())
    }

    /// Tells the decisions on groups, and the claims, which nodes live.
    fn follow_peers(&mut self, now: Moment) {
        let live = self.membership.peers(now);
        let own = Peer {
            node: self.node,
            data_centre: self.edges.data_centre,
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
        self.claims.live(boots.collect());
        if peers != self.view.peers {
            self.view.peers.clone_from(&peers);
            self.fleet_event(now, FleetEvent::Peers(peers));
        }
    }

    fn traffic_facts(&mut self, now: Moment, at: Moment, facts: Vec<TrafficFact>) {
        for fact in facts {
            let event = match fact {
                TrafficFact::Cold { group, epoch } => FleetEvent::TurnedCold { group, epoch },
                TrafficFact::Failed { group, epoch } => FleetEvent::BackendFailed { group, epoch },
                TrafficFact::Responded { group, epoch } => {
                    FleetEvent::TokenStreamed { group, epoch, at }
                }
            };
            if let TrafficFact::Cold { group, epoch } = fact {
                let cold = AgedFact {
                    fact: Fact::Cold { group, epoch },
                    age: Duration::ZERO,
                };
                self.membership_event(now, MembershipEvent::LocalFacts(vec![cold]));
            }
            self.fleet_event(now, event);
        }
    }

    fn peer_facts(&mut self, now: Moment, facts: Vec<AgedFact>) {
        for AgedFact { fact, age } in facts {
            match fact {
                Fact::Attested {
                    group,
                    epoch,
                    health,
                } => {
                    let from = NodeId::default();
                    let event = FleetEvent::Attested {
                        from,
                        group,
                        epoch,
                        age,
                        health,
                    };
                    self.fleet_event(now, event);
                }
                // An older signal is overtaken by the health that attestations carry.
                Fact::Cold { group, epoch } if age < COLD_SIGNAL => {
                    self.fleet_event(now, FleetEvent::TurnedCold { group, epoch });
                }
                Fact::Crashed { fingerprint, count } => {
                    let crash = CrashFact {
                        fingerprint,
                        strikes: u32::from(count),
                        age,
                    };
                    self.traffic
                        .with(|traffic, now| traffic.crash_table().apply_fact(now, crash));
                }
                Fact::Cold { .. } | Fact::Load { .. } => {}
            }
        }
    }

    fn share_crashes(&mut self, now: Moment) {
        let crashes = self
            .traffic
            .with(|traffic, now| traffic.crash_table().facts(now, CRASHES_TOLD));
        if crashes.is_empty() {
            return;
        }
        let fact = |crash: CrashFact| AgedFact {
            fact: Fact::Crashed {
                fingerprint: crash.fingerprint,
                count: u8::try_from(crash.strikes).unwrap_or(u8::MAX),
            },
            age: crash.age,
        };
        let facts = crashes.into_iter().map(fact).collect();
        self.membership_event(now, MembershipEvent::LocalFacts(facts));
    }

    /// Shows traffic the present state.
    fn publish(&mut self, now: Moment) {
        self.view.generation += 1;
        let routes = self
            .fleet
            .groups(now)
            .filter_map(|group| route(&group))
            .collect();
        let place = self
            .view
            .peers
            .iter()
            .position(|peer| peer.node == self.node);
        // A minority divides limits as a majority would, so that two sides use at most twice as much.
        let majority = self.membership.slot_count() / 2 + 1;
        let nodes = u32::try_from(self.view.peers.len().max(majority)).unwrap_or(u32::MAX);
        self.traffic.publish(Snapshot {
            generation: self.view.generation,
            made: now,
            catalogue: Arc::clone(&self.view.catalogue),
            routes: RouteTable { routes },
            fresh_until: self.membership.fresh_until(now),
            nodes,
            place: place
                .and_then(|place| u32::try_from(place).ok())
                .unwrap_or(nodes - 1),
            ..Snapshot::default()
        });
    }
}

enum Step {
    Event(ControlEvent),
    Tick,
}

/// The route to a group; none while the address of its rank 0 is unknown.
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
