//! A single node with generated events, for measurements of memory and processor time.
#![expect(dead_code, reason = "each target uses a part of the shared simulation")]

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use tanagerhub_catalogue::{DataCentreId, Epoch, GroupId, NodeId, VmId};
use tanagerhub_clock::Moment;
use tanagerhub_fleet::{Fleet, FleetAction, FleetEvent, Health, MemberReport, Peer};
use tanagerhub_table::Row;

use crate::simulation::Simulation;

/// One node of many, which receives attestations of all groups from peers.
#[derive(Debug)]
pub struct SingleNode {
    now: Moment,
    fleet: Fleet,
    engines: BTreeMap<VmId, MemberReport>,
    groups: Vec<(GroupId, Epoch)>,
    rows: Vec<Row>,
}

impl Simulation {
    /// Returns the state of another node with the same data as the first one.
    pub fn copy_of_node(&self, seed: u64) -> Fleet {
        let mut fleet = Fleet::new(self.nodes[0].settings.clone(), seed);
        let rows = self.nodes[0].fleet.rows();
        let events = [
            FleetEvent::Catalogue(Arc::new(self.catalogue.clone())),
            FleetEvent::Peers(self.peers()),
            FleetEvent::Vms(self.vms.clone()),
            FleetEvent::PeerRows(rows),
        ];
        for event in events {
            fleet.on_event(self.now, event);
        }
        fleet
    }

    /// Returns one node of `count`, either the first planner or an ordinary node.
    pub fn single_node(&self, count: usize, planner: bool) -> SingleNode {
        let peer = |index: usize| Peer {
            node: NodeId::of(&format!("node-{index}")),
            data_centre: DataCentreId::of(&format!("dc-{}", index % 3)),
        };
        let peers: Vec<Peer> = (0..count).map(peer).collect();
        let build = |peer: &Peer| {
            let settings = self.nodes[0]
                .settings
                .clone()
                .node(peer.node, peer.data_centre);
            let mut fleet = Fleet::new(settings, 1);
            fleet.on_event(self.now, FleetEvent::Peers(peers.clone()));
            fleet
        };
        let has_role = |fleet: &Fleet| (fleet.status(self.now).planner == Some(0)) == planner;
        let mut fleet = peers
            .iter()
            .map(build)
            .find(has_role)
            .expect("no node has the requested planner role");
        let catalogue = Arc::new(self.catalogue.clone());
        fleet.on_event(self.now, FleetEvent::Catalogue(catalogue));
        fleet.on_event(self.now, FleetEvent::Vms(self.vms.clone()));
        let groups = self.table.all_groups();
        let reports = self.engines.values();
        let mut node = SingleNode {
            now: self.now,
            fleet,
            engines: reports.map(|one| (one.vm, one.report(self.now))).collect(),
            groups: groups.iter().map(|(id, row)| (*id, row.epoch)).collect(),
            rows: self.nodes[0].fleet.rows(),
        };
        for _ in 0..5 {
            node.run_second();
        }
        node
    }
}

impl SingleNode {
    /// Runs one second: attestations of all groups from peers, four ticks, and all responses.
    pub fn run_second(&mut self) {
        for (group, epoch) in &self.groups {
            let event = FleetEvent::Attested {
                from: NodeId(1),
                group: *group,
                epoch: *epoch,
                age: Duration::from_millis(300),
                health: Health::Warm,
            };
            self.fleet.on_event(self.now, event);
        }
        for _ in 0..4 {
            self.now = self.now + Duration::from_millis(250);
            let actions = self.fleet.on_event(self.now, FleetEvent::Tick);
            for action in actions {
                self.respond(&action);
            }
        }
    }

    fn respond(&mut self, action: &FleetAction) {
        let event = match action {
            FleetAction::Probe { vm, .. } => FleetEvent::Probed {
                vm: *vm,
                sent: self.now,
                result: Ok(self.engines[vm]),
            },
            FleetAction::Read { read, .. } => FleetEvent::Rows {
                read: *read,
                result: Ok(self.rows.clone()),
            },
            _ => return,
        };
        self.fleet.on_event(self.now, event);
    }

    /// Returns the number of probes that this node has sent.
    pub fn probes(&self) -> u64 {
        self.fleet.counters().probes
    }
}
