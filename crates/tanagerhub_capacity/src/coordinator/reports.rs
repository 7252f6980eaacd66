//! Applies what nodes report of themselves: requests, attempts that ended, and loans.

use tanagerhub_catalogue::{EntryId, NodeId, VmId};
use tanagerhub_clock::Moment;

use super::{Coordinator, CoordinatorEvent};
use crate::load::GroupKey;
use crate::message::{FirstByte, Heard, Request, Sample, ShareRest};
use crate::peer::Peer;
use crate::timing::LOAN;

impl Coordinator {
    /// Returns whether a request is from the node's present process, which may be a new one.
    pub(super) fn admit_process(&mut self, now: Moment, request: &Request) -> bool {
        let node = request.node;
        match self.peers.remove(&node) {
            None => {
                self.peers.insert(node, Peer::new(now, request.boot));
            }
            Some(peer) if peer.boot == request.boot => {
                self.peers.insert(node, peer);
            }
            Some(peer) => {
                let has_ended = peer.has_ended(request.boot);
                if has_ended {
                    self.peers.insert(node, peer);
                    return false;
                }
                self.peers.insert(node, peer.restarted(now, request.boot));
                self.loans.end(node);
                self.loads.forget(node);
                self.drop_asks(node);
            }
        }
        true
    }

    /// Applies what a request says about the node itself.
    pub(super) fn apply_report(&mut self, now: Moment, request: &Request) {
        for sample in &request.samples {
            self.apply_sample(now, sample);
        }
        for first_byte in &request.first_bytes {
            self.apply_first_byte(now, request.node, first_byte);
        }
        let heard = request
            .heard
            .filter(|heard| heard.boot == self.boot)
            .map(Heard::moment);
        self.loads
            .report(now, request.node, &request.running, heard);
        let loads = &self.loads;
        for entry in self.entries.values_mut() {
            entry.rate.advance(now, entry.running(loads));
        }
        self.apply_loans(now, request, heard);
    }

    fn apply_sample(&mut self, now: Moment, sample: &Sample) {
        let key = (sample.group, sample.epoch);
        let Some(&id) = self.entry_of.get(&key) else {
            return;
        };
        let Some(entry) = self.entries.get_mut(&id) else {
            return;
        };
        entry.rate.record_end();
        let used = self.loads.of(key).requests;
        let usual = entry.usual_late_share(sample.group);
        let Some(state) = entry.group_mut(sample.group, sample.epoch) else {
            return;
        };
        state.record(now, sample, used, usual);
        self.emit_limit_change(now, id, key);
    }

    fn apply_first_byte(&mut self, now: Moment, node: NodeId, first_byte: &FirstByte) {
        let Some(prompt) = self.prompts.remove((node, first_byte.ask)) else {
            return;
        };
        let key = prompt.group;
        let Some(&id) = self.entry_of.get(&key) else {
            return;
        };
        let Some(entry) = self.entries.get_mut(&id) else {
            return;
        };
        let used = self.loads.of(key).requests;
        let usual = entry.usual_late_share(key.0);
        if let Some(state) = entry.group_mut(key.0, key.1) {
            state.record_first_byte(now, first_byte, prompt, used, usual);
            self.emit_limit_change(now, id, key);
        }
    }

    /// Emits an event if one is due for a changed limit.
    fn emit_limit_change(&mut self, now: Moment, entry: EntryId, key: GroupKey) {
        let running = self.loads.of(key).requests;
        let state = self.entries.get_mut(&entry);
        let state = state.and_then(|entry| entry.group_mut(key.0, key.1));
        if let Some((from, to)) = state.and_then(|state| state.limit_change(now)) {
            let event = CoordinatorEvent::LimitChanged {
                entry,
                group: key.0,
                from,
                to,
                running,
            };
            self.emit(event);
        }
    }

    /// Counts the shares that a node lends, from the reply that it last heard.
    fn apply_loans(&mut self, now: Moment, request: &Request, heard: Option<Moment>) {
        let node = request.node;
        // A process that is about to stop keeps its lenders for a while, but accepts no new ones.
        let is_refused = request.leaving || self.is_stopping && !self.loans.is_lender(node);
        let Some(peer) = self.peers.get_mut(&node) else {
            return;
        };
        // The node has no reply of this process yet, or has left it and comes back. It may not have
        // received its release.
        if request.heard.is_none() {
            peer.arrived_at = now;
            peer.repeats_release = false;
        }
        // A reply that was never sent can't have been heard, and a node that has not yet heard of
        // its release names loans that have ended.
        let was_sent = |at: &Moment| peer.last_sent.is_some_and(|sent| *at <= sent);
        let is_current = |at: &Moment| peer.released_at.is_none_or(|released| *at >= released);
        let heard = heard.filter(was_sent).filter(is_current);
        let Some(heard) = heard.filter(|_| !is_refused) else {
            self.loans.end(node);
            return;
        };
        let rests = rests_of(now, request, &peer.handed_over);
        if !request.lent.is_empty() {
            peer.released_at = None;
            peer.repeats_release = false;
            peer.handed_over.clear();
        }
        peer.counted = request.number;
        self.loans
            .renew(now, node, &request.lent, &rests, heard + LOAN);
    }
}

/// Returns the rests that a request names, and at least those of the shares that this coordinator
/// has released: a node that missed its release still names the rests of its loan before.
fn rests_of(now: Moment, request: &Request, released: &[(VmId, Moment)]) -> Vec<ShareRest> {
    let rest_of = |named: &ShareRest| {
        let own = released.iter().find(|(server, _)| *server == named.server);
        let own = own.map(|&(server, free_at)| ShareRest::until(now, server, free_at));
        own.into_iter()
            .chain([*named])
            .max_by_key(|rest| rest.rest_ms)
    };
    request.rests.iter().filter_map(rest_of).collect()
}
