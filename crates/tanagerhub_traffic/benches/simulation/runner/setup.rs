//! Setup of nodes and their catalogue, and generation of requests.

use std::sync::Arc;

use rand::RngExt;
use tanagerhub_catalogue::{
    Catalogue, Class, DataCentreId, Entry, EntryId, EntryKind, Fencing, Limits, ModelEntry, NodeId,
    Organisation, OrganisationId, OrganisationLimits, RequestId,
};
use tanagerhub_clock::Moment;
use tanagerhub_traffic::{Freshness, RequestInfo, Traffic, TrafficSettings};

use super::{DATA_CENTRES, ENTRY, Request, Simulation};
use crate::simulation::engine::BATCH_SIZE;
use crate::simulation::policy::{Baseline, Policy, repeat_for};
use crate::simulation::scenario::{ORGANISATIONS, Scenario};

impl Simulation {
    pub(super) fn random_request(&mut self, number: usize, organisation: usize) -> Request {
        let prompt = self.random.random_range(0..8_u64);
        let session = self.random.random_range(0..200_u64);
        let turns = self.random.random_range(1..5_u64);
        let start = (organisation as u64) << 48 | prompt << 40;
        let shared = (0..4).map(|block| start | block);
        let own = (0..turns * 2).map(|block| start | (session + 1) << 16 | (block + 4));
        let blocks: Vec<u64> = shared.chain(own).map(scramble).collect();
        let total = self.random.random_range(16..80);
        let name = organisation_name(organisation);
        let tokens = u32::try_from(blocks.len()).unwrap() * 64;
        let info = RequestInfo::new(
            RequestId(number as u64),
            OrganisationId::of(&name),
            EntryId::of(ENTRY),
        )
        .deadline(self.now + self.scenario.deadline)
        .repeat(repeat_for(number))
        .tokens(tokens, total)
        .prefixes(blocks);
        Request {
            info,
            node: self.random.random_range(0..self.scenario.nodes),
            organisation,
            total,
            arrived: self.now,
            sent: false,
            has_first_token: false,
            tokens: 0,
            last_token: self.now,
            done: false,
            received: 0,
            jobs: Vec::new(),
        }
    }
}

pub(super) fn policy(scenario: &Scenario, node: usize, now: Moment) -> Policy {
    let seed = scenario.seed * 100 + node as u64;
    if scenario.baseline {
        return Policy::Baseline(Box::new(Baseline::new(seed)));
    }
    let id = NodeId::of(&format!("node-{node}"));
    let nodes = u32::try_from(scenario.nodes).unwrap();
    let settings = TrafficSettings::default()
        .node(id, data_centre_id(node))
        .nodes(nodes)
        .moves_streams(true);
    let mut traffic = Traffic::new(settings, seed);
    traffic.apply_catalogue(now, &Arc::new(catalogue()));
    let view = Freshness {
        takes_work: true,
        live_nodes: nodes,
        place: u32::try_from(node).unwrap(),
    };
    traffic.apply_freshness(now, view);
    Policy::Tanagerhub(Box::new(traffic))
}

fn catalogue() -> Catalogue {
    let organisation = |number| Organisation {
        name: organisation_name(number),
        weight: 1,
        keys: Vec::new(),
        limits: OrganisationLimits::default(),
    };
    Catalogue {
        organisations: (0..ORGANISATIONS).map(organisation).collect(),
        entries: vec![Entry {
            name: ENTRY.to_owned(),
            owner: "fit".to_owned(),
            class: Class::Interactive,
            limits: Limits {
                concurrency: u32::try_from(BATCH_SIZE).unwrap(),
                queue: 3_000,
                ..Limits::default()
            },
            kind: EntryKind::Model(ModelEntry {
                weights: "advisor-7".to_owned(),
                span: 2,
                fencing: Fencing::Ignored,
            }),
        }],
        ..Catalogue::default()
    }
}

fn organisation_name(number: usize) -> String {
    format!("organisation-{number}")
}

pub(super) fn data_centre_id(number: usize) -> DataCentreId {
    DataCentreId::of(["tbs-a", "tbs-b", "tbs-c"][number % DATA_CENTRES])
}

const fn scramble(value: u64) -> u64 {
    (value ^ (value >> 29)).wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1
}
