//! Builds the replies to nodes.

use std::time::Duration;

use tanagerhub_catalogue::{EntryId, NodeId, VmId};
use tanagerhub_clock::Moment;

use super::Coordinator;
use crate::demand::DemandCounts;
use crate::message::{EntryLoad, Heard, Released, Reply, ShareRest};
use crate::timing::RELEASE_DELAY;

/// The maximum number of grants, and of refusals, in a reply; with the loads they fit into a
/// datagram.
const MAX_PER_KIND: usize = 12;
/// The least difference between the times of two replies to a node.
const STEP: Duration = Duration::from_nanos(1);
/// The maximum number of released shares in a reply; others rest for a whole start window.
const MAX_RESTS: usize = 32;
/// The maximum number of entries whose load a reply carries.
const MAX_LOADS: usize = 16;

impl Coordinator {
    /// Decides on waiting asks and returns the replies that are due, which must be sent at once.
    pub fn take_replies(&mut self, now: Moment) -> Vec<(NodeId, Reply)> {
        self.advance(now);
        self.release_due(now);
        self.answer_again(now);
        self.decide(now);
        let mut replies = Vec::new();
        let mut load = None;
        while let Some(node) = self.reply_due.pop_due(now) {
            let load = load.get_or_insert_with(|| self.entry_loads(now));
            self.add_replies(now, node, load, &mut replies);
        }
        replies
    }

    fn add_replies(
        &mut self,
        now: Moment,
        node: NodeId,
        load: &[EntryLoad],
        replies: &mut Vec<(NodeId, Reply)>,
    ) {
        let released = self.released(now, node);
        let Some(peer) = self.peers.get_mut(&node) else {
            return;
        };
        let mut grants = std::mem::take(&mut peer.grants);
        let mut refusals = std::mem::take(&mut peer.refusals);
        loop {
            // Each reply to a node has a time of its own, by which the node orders them.
            let sent_at = peer.last_sent.map_or(now, |sent| now.max(sent + STEP));
            peer.last_sent = Some(sent_at);
            if released.is_some() {
                peer.released_at = Some(sent_at);
            }
            let granted = take_front(&mut grants, MAX_PER_KIND);
            for grant in &granted {
                self.loads.set_sent(node, grant.ask, sent_at);
            }
            let reply = Reply {
                shard: self.shard,
                node: self.node,
                sent: Heard {
                    boot: self.boot,
                    sent_at: sent_at.as_nanos(),
                },
                to: peer.boot,
                answers: peer.number.unwrap_or_default(),
                received: peer.received,
                grants: granted,
                refusals: take_front(&mut refusals, MAX_PER_KIND),
                load: load.to_vec(),
                released: released.clone(),
            };
            replies.push((node, reply));
            if grants.is_empty() && refusals.is_empty() {
                break;
            }
        }
    }

    /// Returns what tells a node that its loans have ended in favour of another coordinator; `None`
    /// if it may lend here.
    fn released(&self, now: Moment, node: NodeId) -> Option<Released> {
        let peer = self.peers.get(&node)?;
        let is_released = self.is_stopping
            || self.not_first_since.is_some_and(|first_lost| {
                // A node without shares is not among the lenders that are released in turn.
                let stayed = now.since(first_lost.max(peer.arrived_at));
                peer.repeats_release || stayed >= RELEASE_DELAY
            });
        (is_released && !self.loans.is_lender(node)).then(|| Released {
            next: self.next,
            counted: peer.counted,
            rests: rests(now, &peer.handed_over),
        })
    }

    fn entry_loads(&self, now: Moment) -> Vec<EntryLoad> {
        let loads = self.entries.iter().take(MAX_LOADS).map(|(&id, entry)| {
            let (running, limit) = self.entry_load(id);
            let DemandCounts { asks, missed } = entry.demand.counts(now);
            EntryLoad {
                entry: id,
                running,
                limit,
                waiting: u32::try_from(entry.queue.len()).unwrap_or(u32::MAX),
                asks,
                missed,
            }
        });
        loads.collect()
    }

    /// Returns the requests and the sum of the limits of an entry's groups.
    pub(super) fn entry_load(&self, id: EntryId) -> (u32, u32) {
        self.entries.get(&id).map_or((0, 0), |entry| {
            let limit = entry
                .groups
                .iter()
                .map(|state| state.limit.requests())
                .sum();
            (entry.running(&self.loads), limit)
        })
    }
}

fn rests(now: Moment, shares: &[(VmId, Moment)]) -> Vec<ShareRest> {
    let shares = shares.iter().take(MAX_RESTS);
    shares
        .map(|&(server, free_at)| ShareRest::until(now, server, free_at))
        .collect()
}

/// Removes up to `count` items from the front.
fn take_front<T>(items: &mut Vec<T>, count: usize) -> Vec<T> {
    let rest = items.split_off(items.len().min(count));
    std::mem::replace(items, rest)
}
