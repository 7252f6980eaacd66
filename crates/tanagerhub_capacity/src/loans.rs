//! The shares of start limits that nodes lend to a coordinator.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use tanagerhub_catalogue::{NodeId, VmId};
use tanagerhub_clock::Moment;

use crate::deadlines::Deadlines;
use crate::message::{LentShare, ShareRest};
use crate::timing::START_WINDOW;

/// All loans of a coordinator.
///
/// A share becomes available [`START_WINDOW`] after it was first counted, because its lender may
/// have used it just before; one that another coordinator has handed over after its rest. It stays
/// available for as long as its loan is renewed in time.
#[derive(Debug, Default)]
pub(crate) struct Loans {
    lenders: HashMap<NodeId, Lender>,
    expiries: Deadlines<NodeId>,
    /// When parts of lenders become available.
    activations: BTreeSet<(Moment, NodeId)>,
    servers: HashMap<VmId, ServerShares>,
}

#[derive(Debug)]
struct Lender {
    since: Moment,
    /// What the node last named, which most messages repeat.
    named: Vec<LentShare>,
    parts: Vec<Part>,
}

/// Starts of one server that a node began to lend at the same time.
#[derive(Debug, Clone, Copy)]
struct Part {
    server: VmId,
    starts: u32,
    available_at: Moment,
    is_available: bool,
}

/// The starts of one server that a node lends.
#[derive(Debug, Clone, Copy)]
pub(crate) struct LenderShare {
    pub(crate) server: VmId,
    /// Starts that are available for grants.
    pub(crate) available: u32,
    /// When the others become available.
    pub(crate) available_at: Option<Moment>,
}

#[derive(Debug, Clone, Copy, Default)]
struct ServerShares {
    counted: u32,
    available: u32,
}

impl Loans {
    /// Replaces what a node lends, until `expires`.
    ///
    /// What it lent before stays available; what it lends in addition starts anew.
    pub(crate) fn renew(
        &mut self,
        now: Moment,
        node: NodeId,
        lent: &[LentShare],
        rests: &[ShareRest],
        expires: Moment,
    ) {
        if lent.is_empty() || expires <= now {
            self.end(node);
            return;
        }
        if self
            .lenders
            .get(&node)
            .is_some_and(|lender| lender.named == lent)
        {
            self.expiries.set(node, expires);
            return;
        }
        let (since, former) = match self.lenders.remove(&node) {
            Some(lender) => (lender.since, lender.parts),
            None => (now, Vec::new()),
        };
        let mut added: HashMap<VmId, u32> = lent
            .iter()
            .map(|share| (share.server, share.starts))
            .collect();
        let mut parts = self.keep(former, &mut added);
        for (server, starts) in added.into_iter().filter(|&(_, starts)| starts > 0) {
            parts.push(self.add_part(now, node, server, starts, rests));
        }
        let named = lent.to_vec();
        let lender = Lender {
            since,
            named,
            parts,
        };
        self.lenders.insert(node, lender);
        self.expiries.set(node, expires);
    }

    /// Counts starts that a node lends in addition, which become available after their rest.
    fn add_part(
        &mut self,
        now: Moment,
        node: NodeId,
        server: VmId,
        starts: u32,
        rests: &[ShareRest],
    ) -> Part {
        let handed_over = rests.iter().find(|it| it.server == server);
        let delay = handed_over.map_or(START_WINDOW, |it| it.rest().min(START_WINDOW));
        let available_at = now + delay;
        self.activations.insert((available_at, node));
        self.servers.entry(server).or_default().counted += starts;
        Part {
            server,
            starts,
            available_at,
            is_available: false,
        }
    }

    /// Reduces former parts to what is still lent, and takes them off `lent`.
    fn keep(&mut self, former: Vec<Part>, lent: &mut HashMap<VmId, u32>) -> Vec<Part> {
        let mut parts = Vec::with_capacity(lent.len());
        for mut part in former {
            let lent = lent.get_mut(&part.server);
            let kept = lent
                .as_deref()
                .copied()
                .unwrap_or_default()
                .min(part.starts);
            if let Some(lent) = lent {
                *lent -= kept;
            }
            self.subtract(part, part.starts - kept);
            part.starts = kept;
            if kept > 0 {
                parts.push(part);
            }
        }
        parts
    }

    fn subtract(&mut self, part: Part, starts: u32) {
        let Some(server) = self.servers.get_mut(&part.server) else {
            return;
        };
        server.counted -= starts;
        if part.is_available {
            server.available -= starts;
        }
        if server.counted == 0 {
            self.servers.remove(&part.server);
        }
    }

    /// Ends all loans of a node; returns whether there were any.
    pub(crate) fn end(&mut self, node: NodeId) -> bool {
        self.expiries.remove(node);
        let Some(lender) = self.lenders.remove(&node) else {
            return false;
        };
        for part in lender.parts {
            self.subtract(part, part.starts);
        }
        true
    }

    /// Ends loans that have expired, and makes shares available whose delay has passed.
    pub(crate) fn advance(&mut self, now: Moment) {
        while let Some(node) = self.expiries.pop_due(now) {
            self.end(node);
        }
        while let Some(&(at, node)) = self.activations.first() {
            if at > now {
                break;
            }
            self.activations.pop_first();
            let Some(lender) = self.lenders.get_mut(&node) else {
                continue;
            };
            for part in &mut lender.parts {
                if !part.is_available && part.available_at <= now {
                    part.is_available = true;
                    self.servers.entry(part.server).or_default().available += part.starts;
                }
            }
        }
    }

    /// Returns the starts of a server that are available for grants.
    pub(crate) fn available(&self, server: VmId) -> u32 {
        self.servers
            .get(&server)
            .map_or(0, |shares| shares.available)
    }

    /// Returns the starts of a server that are lent, whether or not they are available yet.
    pub(crate) fn counted(&self, server: VmId) -> u32 {
        self.servers.get(&server).map_or(0, |shares| shares.counted)
    }

    /// Returns whether a node lends.
    pub(crate) fn is_lender(&self, node: NodeId) -> bool {
        self.lenders.contains_key(&node)
    }

    /// Returns the shares of a node.
    pub(crate) fn shares_of(&self, node: NodeId) -> Vec<LenderShare> {
        let mut shares = BTreeMap::<VmId, LenderShare>::new();
        let lender = self.lenders.get(&node);
        for part in lender.into_iter().flat_map(|lender| &lender.parts) {
            let share = shares.entry(part.server).or_insert(LenderShare {
                server: part.server,
                available: 0,
                available_at: None,
            });
            if part.is_available {
                share.available += part.starts;
            } else {
                share.available_at = share.available_at.max(Some(part.available_at));
            }
        }
        shares.into_values().collect()
    }

    /// Returns the node that has lent for the longest time, and since when.
    pub(crate) fn oldest_lender(&self) -> Option<(Moment, NodeId)> {
        self.lenders
            .iter()
            .map(|(&node, lender)| (lender.since, node))
            .min()
    }

    /// Returns the number of lenders, including expired ones since the last
    /// [`advance`](Self::advance).
    pub(crate) fn lenders(&self) -> usize {
        self.lenders.len()
    }

    /// Returns whether a loan lasts beyond `now`.
    pub(crate) fn has_unexpired(&self, now: Moment) -> bool {
        self.expiries.last().is_some_and(|at| at > now)
    }

    /// Returns when shares become available next.
    pub(crate) fn next_activation(&self) -> Option<Moment> {
        self.activations.first().map(|&(at, _)| at)
    }

    /// Returns when the next loan expires.
    pub(crate) fn next_expiry(&self) -> Option<Moment> {
        self.expiries.first()
    }
}
