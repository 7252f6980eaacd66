//! The load of groups over all nodes.

use std::collections::HashMap;

use tanagerhub_catalogue::{Epoch, GroupId, NodeId};
use tanagerhub_clock::Moment;

use crate::deadlines::Deadlines;
use crate::message::{Ask, AskId, GroupRunning};
use crate::timing::REPORT;

/// Requests at a group, or a part of them, and their tokens.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub(crate) struct Load {
    pub(crate) requests: u32,
    pub(crate) tokens: u64,
    /// Requests without a first byte, and their prompt tokens.
    pub(crate) reading: u32,
    pub(crate) reading_tokens: u64,
}

impl Load {
    /// Returns the load of a granted request whose prompt is not read yet.
    pub(crate) fn of_ask(ask: &Ask) -> Self {
        Self {
            requests: 1,
            tokens: ask.tokens(),
            reading: 1,
            reading_tokens: u64::from(ask.prompt_tokens),
        }
    }

    const fn of_running(running: &GroupRunning) -> Self {
        Self {
            requests: running.requests,
            tokens: running.tokens,
            reading: running.reading,
            reading_tokens: running.reading_tokens,
        }
    }

    /// Returns the sum of two loads.
    pub(crate) const fn plus(self, other: Self) -> Self {
        Self {
            requests: self.requests.saturating_add(other.requests),
            tokens: self.tokens.saturating_add(other.tokens),
            reading: self.reading.saturating_add(other.reading),
            reading_tokens: self.reading_tokens.saturating_add(other.reading_tokens),
        }
    }

    const fn minus(self, other: Self) -> Self {
        Self {
            requests: self.requests.saturating_sub(other.requests),
            tokens: self.tokens.saturating_sub(other.tokens),
            reading: self.reading.saturating_sub(other.reading),
            reading_tokens: self.reading_tokens.saturating_sub(other.reading_tokens),
        }
    }
}

/// A group in one epoch; requests of former epochs don't use the slots of the present one.
pub(crate) type GroupKey = (GroupId, Epoch);

/// The load of all groups: what nodes last reported, plus the grants since.
///
/// A grant counts until the node has heard the reply that carried it, or a later one: from then on
/// either the node's report includes it, or the reply was lost.
#[derive(Debug, Default)]
pub(crate) struct Loads {
    groups: HashMap<GroupKey, Load>,
    nodes: HashMap<NodeId, NodeLoad>,
    expiries: Deadlines<NodeId>,
}

#[derive(Debug, Default)]
struct NodeLoad {
    running: Vec<GroupRunning>,
    grants: Vec<PendingGrant>,
}

/// A grant that the node's reports do not include yet.
#[derive(Debug, Clone, Copy)]
pub(crate) struct PendingGrant {
    pub(crate) ask: AskId,
    pub(crate) key: GroupKey,
    pub(crate) load: Load,
    pub(crate) sent_at: Moment,
}

impl Loads {
    /// Returns the load of a group.
    pub(crate) fn of(&self, key: GroupKey) -> Load {
        self.groups.get(&key).copied().unwrap_or_default()
    }

    /// Replaces the report of a node that has heard replies up to `heard`.
    pub(crate) fn report(
        &mut self,
        now: Moment,
        node: NodeId,
        running: &[GroupRunning],
        heard: Option<Moment>,
    ) {
        let state = self.nodes.entry(node).or_default();
        for run in state.running.drain(..) {
            subtract(
                &mut self.groups,
                (run.group, run.epoch),
                Load::of_running(&run),
            );
        }
        for run in running {
            add(
                &mut self.groups,
                (run.group, run.epoch),
                Load::of_running(run),
            );
        }
        state.running.extend_from_slice(running);
        state.grants.retain(|grant| {
            let is_included = heard.is_some_and(|heard| heard >= grant.sent_at);
            let is_pending = !is_included && now.since(grant.sent_at) < REPORT;
            if !is_pending {
                subtract(&mut self.groups, grant.key, grant.load);
            }
            is_pending
        });
        self.expiries.set(node, now + REPORT);
    }

    /// Counts a grant to a node.
    pub(crate) fn grant(&mut self, node: NodeId, grant: PendingGrant) {
        add(&mut self.groups, grant.key, grant.load);
        self.nodes.entry(node).or_default().grants.push(grant);
        if self.expiries.get(node).is_none() {
            self.expiries.set(node, grant.sent_at + REPORT);
        }
    }

    /// Gives back the slot of a granted ask, unless the node's reports include it already.
    pub(crate) fn cancel(&mut self, node: NodeId, ask: AskId) {
        let Some(state) = self.nodes.get_mut(&node) else {
            return;
        };
        if let Some(index) = state.grants.iter().position(|grant| grant.ask == ask) {
            let grant = state.grants.swap_remove(index);
            subtract(&mut self.groups, grant.key, grant.load);
        }
    }

    /// Sets the time at which a grant was sent.
    pub(crate) fn set_sent(&mut self, node: NodeId, ask: AskId, sent_at: Moment) {
        let grants = self.nodes.get_mut(&node).map(|state| &mut state.grants);
        let grant = grants.and_then(|grants| grants.iter_mut().find(|grant| grant.ask == ask));
        if let Some(grant) = grant {
            grant.sent_at = sent_at;
        }
    }

    /// Forgets the reports of a node and the grants to it.
    pub(crate) fn forget(&mut self, node: NodeId) {
        self.expiries.remove(node);
        let Some(state) = self.nodes.remove(&node) else {
            return;
        };
        for run in state.running {
            subtract(
                &mut self.groups,
                (run.group, run.epoch),
                Load::of_running(&run),
            );
        }
        for grant in state.grants {
            subtract(&mut self.groups, grant.key, grant.load);
        }
    }

    /// Forgets nodes that have not reported for [`REPORT`].
    pub(crate) fn advance(&mut self, now: Moment) {
        while let Some(node) = self.expiries.pop_due(now) {
            self.forget(node);
        }
    }

    /// Returns when the next report ceases to count.
    pub(crate) fn next_expiry(&self) -> Option<Moment> {
        self.expiries.first()
    }
}

fn add(groups: &mut HashMap<GroupKey, Load>, key: GroupKey, more: Load) {
    let load = groups.entry(key).or_default();
    *load = load.plus(more);
}

fn subtract(groups: &mut HashMap<GroupKey, Load>, key: GroupKey, less: Load) {
    let Some(load) = groups.get_mut(&key) else {
        return;
    };
    *load = load.minus(less);
    if *load == Load::default() {
        groups.remove(&key);
    }
}
