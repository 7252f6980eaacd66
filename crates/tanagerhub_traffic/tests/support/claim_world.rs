//! Several nodes' claims on one table.

use std::collections::BTreeMap;
use std::time::Duration;

use tanagerhub_catalogue::{BootId, OrganisationId, RequestId};
use tanagerhub_clock::Moment;
use tanagerhub_table::{CommitOutcome, TransactionId};
use tanagerhub_traffic::{
    ClaimAction, ClaimAnswer, ClaimRequest, ClaimSettings, Claims, Outcome, RecordedAnswer,
    claim_key,
};

use super::fake_table::FakeTable;

pub const NODE_A: usize = 0;
pub const NODE_B: usize = 1;

/// How long a request waits for its claim, in milliseconds.
const PATIENCE_MS: u64 = 2_000;

/// Several nodes, one table, and the answers that requests got.
#[derive(Debug)]
pub struct ClaimWorld {
    pub table: FakeTable,
    pub now: Moment,
    pub wall_s: u64,
    pub nodes: Vec<Option<Claims>>,
    boots: Vec<BootId>,
    pub answers: BTreeMap<RequestId, ClaimAnswer>,
    silent: Vec<(usize, TransactionId)>,
    next: u64,
}

impl ClaimWorld {
    pub fn new(nodes: u64) -> Self {
        let boots: Vec<BootId> = (1..=nodes).map(BootId).collect();
        let nodes = boots
            .iter()
            .map(|boot| {
                let mut claims = Claims::new(ClaimSettings::new(*boot), boot.0);
                claims.live(boots.iter().copied());
                Some(claims)
            })
            .collect();
        Self {
            table: FakeTable::default(),
            now: Moment::from_millis(1_000),
            wall_s: 1_700_000_000,
            nodes,
            boots,
            answers: BTreeMap::new(),
            silent: Vec::new(),
            next: 0,
        }
    }

    pub fn answer(&self, request: RequestId) -> Option<&ClaimAnswer> {
        self.answers.get(&request)
    }

    pub fn claim(&mut self, node: usize, key: &str, body: u64) -> RequestId {
        let request = self.ask(node, key, body, false);
        self.settle();
        request
    }

    pub fn claim_deduplicated(&mut self, node: usize, key: &str, body: u64) -> RequestId {
        let request = self.ask(node, key, body, true);
        self.settle();
        request
    }

    /// Claims many keys before any of them is written.
    pub fn claim_together(&mut self, node: usize, keys: &[String]) -> Vec<RequestId> {
        let asks = keys
            .iter()
            .map(|key| self.ask(node, key, 7, false))
            .collect();
        self.settle();
        asks
    }

    /// Asks for a claim without letting anything happen.
    pub fn ask(&mut self, node: usize, key: &str, body: u64, deduplicates: bool) -> RequestId {
        self.next += 1;
        let request = RequestId(self.next);
        let ask = ClaimRequest {
            request,
            key: claim_key(OrganisationId::of("shop"), key),
            body,
            deduplicates,
            give_up: self.now + Duration::from_millis(PATIENCE_MS),
        };
        if let Some(claims) = &mut self.nodes[node] {
            claims.claim(self.now, ask);
        }
        request
    }

    pub fn finish(
        &mut self,
        node: usize,
        request: RequestId,
        outcome: Outcome,
        answer: Option<RecordedAnswer>,
    ) {
        if let Some(claims) = &mut self.nodes[node] {
            claims.finish(self.now, request, outcome, answer);
        }
        self.settle();
    }

    /// Ends a request without letting anything else happen.
    pub fn finish_only(&mut self, node: usize, request: RequestId, outcome: Outcome) {
        if let Some(claims) = &mut self.nodes[node] {
            claims.finish(self.now, request, outcome, None);
        }
    }

    /// Replaces a node by a new start; the others notice.
    pub fn replace(&mut self, node: usize) {
        self.boots[node] = BootId(self.boots[node].0 + 100);
        let boot = self.boots[node];
        self.nodes[node] = Some(Claims::new(ClaimSettings::new(boot), boot.0));
        self.silent.retain(|(holder, _)| *holder != node);
        for claims in self.nodes.iter_mut().flatten() {
            claims.live(self.boots.iter().copied());
        }
    }

    /// Ends a node; the others notice.
    pub fn kill(&mut self, node: usize) {
        self.nodes[node] = None;
        let live: Vec<BootId> = (1..)
            .zip(&self.nodes)
            .filter(|(_, claims)| claims.is_some())
            .map(|(boot, _)| BootId(boot))
            .collect();
        for claims in self.nodes.iter_mut().flatten() {
            claims.live(live.iter().copied());
        }
    }

    /// Lets time pass without letting anything else happen.
    pub fn pass(&mut self, span: Duration) {
        self.now = self.now + span;
    }

    /// Lets time pass in steps of 100 ms.
    pub fn advance(&mut self, millis: u64) {
        for _ in 0..millis / 100 {
            self.now = self.now + Duration::from_millis(100);
            self.settle();
        }
    }

    /// Applies writes that were held back.
    pub fn deliver_delayed(&mut self) {
        for transaction in std::mem::take(&mut self.table.delayed) {
            self.table.apply(&transaction);
        }
        self.settle();
    }

    /// Answers everything that got no answer: it is unknown what became of it.
    pub fn answer_silent(&mut self) {
        self.answer_silent_only();
        self.settle();
    }

    /// As [`answer_silent`](Self::answer_silent), without letting anything else happen.
    pub fn answer_silent_only(&mut self) {
        for (node, id) in std::mem::take(&mut self.silent) {
            if let Some(claims) = &mut self.nodes[node] {
                claims.committed(self.now, id, CommitOutcome::Unknown);
            }
        }
    }

    /// Removes expired rows; returns how many.
    pub fn sweep(&mut self, node: usize) -> usize {
        let rows: Vec<_> = self.table.rows.values().cloned().collect();
        let transaction = self.nodes[node].as_mut().and_then(|it| it.sweep(&rows));
        transaction.map_or(0, |transaction| {
            self.table.apply(&transaction);
            transaction.writes.len()
        })
    }

    /// Carries out actions until there are none at this moment.
    pub fn settle(&mut self) {
        while (0..self.nodes.len()).any(|node| self.step(node)) {}
    }

    /// Carries out one node's actions; says whether there were any.
    pub fn step(&mut self, node: usize) -> bool {
        let Some(claims) = &mut self.nodes[node] else {
            return false;
        };
        claims.poll(self.now, self.wall_s);
        let actions = claims.take_actions();
        let any = !actions.is_empty();
        for action in actions {
            self.act(node, action);
        }
        any
    }

    fn act(&mut self, node: usize, action: ClaimAction) {
        let Some(claims) = &mut self.nodes[node] else {
            return;
        };
        match action {
            ClaimAction::Commit(transaction) => {
                let id = transaction.id;
                match self.table.commit(transaction) {
                    Some(outcome) => claims.committed(self.now, id, outcome),
                    None => self.silent.push((node, id)),
                }
            }
            ClaimAction::Read { read, keys } => {
                claims.read(self.now, read, self.table.read(&keys));
            }
            ClaimAction::Answer { request, answer } => {
                let before = self.answers.insert(request, answer);
                assert_eq!(before, None, "{request} was answered twice");
            }
        }
    }
}
