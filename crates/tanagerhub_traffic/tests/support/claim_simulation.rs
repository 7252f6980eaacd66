//! Simulation of several nodes that claim keys in one table.

use std::collections::BTreeMap;
use std::time::Duration;

use tanagerhub_catalogue::{BootId, OrganisationId, RequestId};
use tanagerhub_clock::Moment;
use tanagerhub_table::{CommitOutcome, TransactionId};
use tanagerhub_traffic::{
    ClaimAction, ClaimRequest, ClaimResponse, ClaimSettings, Claims, Outcome, RecordedResponse,
    claim_key,
};

use super::fake_table::FakeTable;

pub const NODE_A: usize = 0;
pub const NODE_B: usize = 1;

/// Time from a claim request to its deadline.
const CLAIM_TIMEOUT_MS: u64 = 2_000;

/// Several nodes, one table, and the responses to claim requests.
#[derive(Debug)]
pub struct ClaimSimulation {
    pub table: FakeTable,
    pub now: Moment,
    pub wall_s: u64,
    pub nodes: Vec<Option<Claims>>,
    boots: Vec<BootId>,
    pub responses: BTreeMap<RequestId, ClaimResponse>,
    pending_commits: Vec<(usize, TransactionId)>,
    next_request: u64,
}

impl ClaimSimulation {
    pub fn new(nodes: u64) -> Self {
        let boots: Vec<BootId> = (1..=nodes).map(BootId).collect();
        let nodes = boots
            .iter()
            .map(|boot| {
                let mut claims = Claims::new(ClaimSettings::new(*boot), boot.0);
                claims.set_live_boots(boots.iter().copied());
                Some(claims)
            })
            .collect();
        Self {
            table: FakeTable::default(),
            now: Moment::from_millis(1_000),
            wall_s: 1_700_000_000,
            nodes,
            boots,
            responses: BTreeMap::new(),
            pending_commits: Vec::new(),
            next_request: 0,
        }
    }

    pub fn response(&self, request: RequestId) -> Option<&ClaimResponse> {
        self.responses.get(&request)
    }

    pub fn claim(&mut self, node: usize, key: &str, body_hash: u64) -> RequestId {
        let request = self.submit_claim(node, key, body_hash, false);
        self.run_until_idle();
        request
    }

    pub fn claim_deduplicated(&mut self, node: usize, key: &str, body_hash: u64) -> RequestId {
        let request = self.submit_claim(node, key, body_hash, true);
        self.run_until_idle();
        request
    }

    /// Submits claims on many keys before any of them is written.
    pub fn claim_together(&mut self, node: usize, keys: &[String]) -> Vec<RequestId> {
        let requests = keys
            .iter()
            .map(|key| self.submit_claim(node, key, 7, false))
            .collect();
        self.run_until_idle();
        requests
    }

    /// Submits a claim request without running any action.
    pub fn submit_claim(
        &mut self,
        node: usize,
        key: &str,
        body_hash: u64,
        deduplicates: bool,
    ) -> RequestId {
        self.next_request += 1;
        let request = RequestId(self.next_request);
        let claim_request = ClaimRequest {
            request,
            key: claim_key(OrganisationId::of("shop"), key),
            body_hash,
            deduplicates,
            deadline: self.now + Duration::from_millis(CLAIM_TIMEOUT_MS),
        };
        if let Some(claims) = &mut self.nodes[node] {
            claims.claim(self.now, claim_request);
        }
        request
    }

    pub fn finish(
        &mut self,
        node: usize,
        request: RequestId,
        outcome: Outcome,
        response: Option<RecordedResponse>,
    ) {
        if let Some(claims) = &mut self.nodes[node] {
            claims.finish(self.now, request, outcome, response);
        }
        self.run_until_idle();
    }

    /// Ends a request without running any action.
    pub fn finish_only(&mut self, node: usize, request: RequestId, outcome: Outcome) {
        if let Some(claims) = &mut self.nodes[node] {
            claims.finish(self.now, request, outcome, None);
        }
    }

    /// Restarts a node under a new boot id, and updates the live boots of all nodes.
    pub fn restart_node(&mut self, node: usize) {
        self.boots[node] = BootId(self.boots[node].0 + 100);
        let boot = self.boots[node];
        self.nodes[node] = Some(Claims::new(ClaimSettings::new(boot), boot.0));
        self.pending_commits.retain(|(holder, _)| *holder != node);
        for claims in self.nodes.iter_mut().flatten() {
            claims.set_live_boots(self.boots.iter().copied());
        }
    }

    /// Stops a node, and updates the live boots of the others.
    pub fn stop_node(&mut self, node: usize) {
        self.nodes[node] = None;
        let live: Vec<BootId> = (1..)
            .zip(&self.nodes)
            .filter(|(_, claims)| claims.is_some())
            .map(|(boot, _)| BootId(boot))
            .collect();
        for claims in self.nodes.iter_mut().flatten() {
            claims.set_live_boots(live.iter().copied());
        }
    }

    /// Advances the clock without running any action.
    pub fn advance_clock(&mut self, duration: Duration) {
        self.now = self.now + duration;
    }

    /// Advances the clock in steps of 100 ms, and runs the actions due at each.
    pub fn advance(&mut self, millis: u64) {
        for _ in 0..millis / 100 {
            self.now = self.now + Duration::from_millis(100);
            self.run_until_idle();
        }
    }

    /// Applies the writes that the table has delayed.
    pub fn deliver_delayed(&mut self) {
        for transaction in std::mem::take(&mut self.table.delayed) {
            self.table.apply(&transaction);
        }
        self.run_until_idle();
    }

    /// Ends every commit that got no response with an unknown outcome.
    pub fn resolve_pending(&mut self) {
        self.resolve_pending_only();
        self.run_until_idle();
    }

    /// As [`resolve_pending`](Self::resolve_pending), without running any action.
    pub fn resolve_pending_only(&mut self) {
        for (node, id) in std::mem::take(&mut self.pending_commits) {
            if let Some(claims) = &mut self.nodes[node] {
                claims.handle_commit(self.now, id, CommitOutcome::Unknown);
            }
        }
    }

    /// Removes expired rows; returns their number.
    pub fn sweep(&mut self, node: usize) -> usize {
        let rows: Vec<_> = self.table.stored.rows().cloned().collect();
        let transaction = self.nodes[node].as_mut().and_then(|it| it.sweep(&rows));
        transaction.map_or(0, |transaction| {
            self.table.apply(&transaction);
            transaction.writes.len()
        })
    }

    /// Performs the actions of all nodes until none are left at this moment.
    pub fn run_until_idle(&mut self) {
        while (0..self.nodes.len()).any(|node| self.step(node)) {}
    }

    /// Performs the actions of one node; returns whether there were any.
    pub fn step(&mut self, node: usize) -> bool {
        let Some(claims) = &mut self.nodes[node] else {
            return false;
        };
        claims.poll(self.now, self.wall_s);
        let actions = claims.take_actions();
        let any = !actions.is_empty();
        for action in actions {
            self.perform(node, action);
        }
        any
    }

    fn perform(&mut self, node: usize, action: ClaimAction) {
        let Some(claims) = &mut self.nodes[node] else {
            return;
        };
        match action {
            ClaimAction::Commit(transaction) => {
                let id = transaction.id;
                match self.table.commit(transaction) {
                    Some(outcome) => claims.handle_commit(self.now, id, outcome),
                    None => self.pending_commits.push((node, id)),
                }
            }
            ClaimAction::Read { read, keys } => {
                claims.handle_read(self.now, read, self.table.read(&keys));
            }
            ClaimAction::Respond { request, response } => {
                let before = self.responses.insert(request, response);
                assert_eq!(before, None, "{request} got two responses");
            }
        }
    }
}
