//! Decides on asks.

use std::time::Duration;

use tanagerhub_catalogue::{EntryId, NodeId};
use tanagerhub_clock::Moment;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::entry::EntryState;
use super::placement::{Candidate, Placement, to_float};
use super::round::{Decided, Outcome, Round};
use super::{Coordinator, CoordinatorEvent, MAX_RETRY, MIN_RETRY, NO_GROUP_RETRY};
use crate::coordinated_group::CoordinatedGroup;
use crate::granted_prompts::GrantedPrompt;
use crate::load::{Load, PendingGrant};
use crate::message::{Ask, AskId, Grant, RefusalReason, RefusedAsk};
use crate::peer::Decision;
use crate::timing::START_WINDOW;
use crate::wait_queue::{LEAST_URGENT, WaitKey, Waiting};

impl Coordinator {
    /// Adds an ask to the queue of its entry unless it is known or can be refused at once.
    ///
    /// An ask that was decided is answered again if the node has repeated it, but not if the
    /// network has duplicated the request.
    pub(super) fn receive_ask(&mut self, now: Moment, node: NodeId, ask: &Ask, is_newer: bool) {
        if self.waiting.contains_key(&(node, ask.id)) {
            return;
        }
        let Some(peer) = self.peers.get_mut(&node) else {
            return;
        };
        match peer.decision(now, ask.id) {
            Some(_) if !is_newer => return,
            Some(Decision::Refused(refusal)) => {
                peer.refusals.push(refusal);
                return;
            }
            Some(Decision::Granted(..)) => {
                self.repeats.push((node, ask.id));
                return;
            }
            None => {}
        }
        // A request that was refused before keeps the objective of its first ask.
        let own = ask.objective().map(|left| now + left);
        let former = own.and_then(|_| self.refused.take(now, ask.fingerprint));
        let waiting = Waiting {
            node,
            ask: ask.clone(),
            since: now,
            objective_at: former.or(own),
            is_repeated: former.is_some(),
            is_new: true,
        };
        self.queue_ask(now, waiting);
    }

    /// Adds an ask to the queue of its entry unless no group can ever serve it.
    fn queue_ask(&mut self, now: Moment, waiting: Waiting) {
        let (node, ask) = (waiting.node, &waiting.ask);
        let urgency = ask.urgency.min(LEAST_URGENT);
        if let Some(entry) = self.entries.get_mut(&ask.entry) {
            entry.shares.record_ask(now, urgency);
            entry.objective.record(ask);
        }
        if let Some((reason, retry)) = self.unservable(ask) {
            return self.refuse(now, &waiting, urgency, reason, retry);
        }
        let Some(entry) = self.entries.get_mut(&ask.entry) else {
            return;
        };
        let is_overdue = waiting.objective_at.is_some_and(|at| at <= now);
        entry.demand.record_ask(now, is_overdue);
        self.order += 1;
        let key = WaitKey {
            urgency,
            overdue: is_overdue,
            deadline: now + ask.wait(),
            order: self.order,
        };
        self.waiting.insert((node, ask.id), (ask.entry, key));
        entry.queue.insert(key, waiting);
    }

    /// Returns why no group of this shard can serve an ask, and when it may be sent again; `None`
    /// if one can.
    fn unservable(&self, ask: &Ask) -> Option<(RefusalReason, Duration)> {
        let groups = self.entries.get(&ask.entry).into_iter();
        let groups = groups.flat_map(|entry| entry.groups.iter().map(|state| &state.group));
        let mut usable = groups
            .filter(|group| !ask.excluded.contains(&group.group))
            .peekable();
        if usable.peek().is_none() {
            return Some((RefusalReason::NoGroup, NO_GROUP_RETRY));
        }
        let is_too_small =
            |group: &CoordinatedGroup| group.memory_tokens.is_some_and(|it| ask.tokens() > it);
        usable
            .all(is_too_small)
            .then_some((RefusalReason::TooLarge, MAX_RETRY))
    }

    /// Withdraws an ask, or gives back the slot that it was granted.
    pub(super) fn cancel(&mut self, node: NodeId, ask: AskId) {
        if let Some((entry, key)) = self.waiting.remove(&(node, ask))
            && let Some(entry) = self.entries.get_mut(&entry)
        {
            entry.queue.remove(key);
        }
        self.loads.cancel(node, ask);
    }

    /// Withdraws all waiting asks of a node whose process has ended.
    pub(super) fn drop_asks(&mut self, node: NodeId) {
        let asks: Vec<AskId> = self
            .waiting
            .keys()
            .filter(|(owner, _)| *owner == node)
            .map(|&(_, ask)| ask)
            .collect();
        for ask in asks {
            self.cancel(node, ask);
        }
    }

    /// Decides on the waiting asks of all entries.
    pub(super) fn decide(&mut self, now: Moment) {
        self.is_changed = false;
        let ids: Vec<EntryId> = self
            .entries
            .iter()
            .filter(|(_, entry)| !entry.queue.is_empty())
            .map(|(&id, _)| id)
            .collect();
        for id in ids {
            let placement = self.placement(now, id);
            let Some(entry) = self.entries.get_mut(&id) else {
                continue;
            };
            entry.latest_grant = placement.latest_grant();
            while let Some((node, ask, key)) = entry.next_overdue(now) {
                self.waiting.insert((node, ask), (id, key));
            }
            entry.rate.advance(now, entry.running(&self.loads));
            let mut round = Round {
                now,
                entry,
                placement,
                decided: Vec::new(),
            };
            round.run();
            for decided in round.decided {
                self.apply(now, decided);
            }
        }
    }

    fn placement(&mut self, now: Moment, id: EntryId) -> Placement {
        let activation = self.loans.next_activation();
        let ready_in = activation.map_or(START_WINDOW, |at| at.since(now));
        let Some(entry) = self.entries.get(&id) else {
            return Placement {
                candidates: Vec::new(),
                objective: EntryState::default().objective.mean(),
                ready_in,
                has_reserved: false,
            };
        };
        let expected = entry.expected_waits(now);
        let states = entry.groups.iter().zip(entry.slowness(now)).zip(expected);
        let candidates = states.map(|((state, slowness), expected)| {
            let group = state.group;
            let load = self.loads.of((group.group, group.epoch));
            let starts = self.loans.available(group.server).min(group.start_limit);
            let window = self.windows.entry(group.server).or_default();
            let limit = match state.failures.next_trial(now) {
                Some(at) if at > now => 0,
                Some(_) => state.limit.requests().min(load.requests + 1),
                None => state.limit.requests(),
            };
            Candidate {
                group,
                load,
                limit,
                starts,
                starts_left: window.left(now, starts),
                slowness,
                expected,
                is_needed: false,
            }
        });
        Placement {
            candidates: candidates.collect(),
            objective: entry.objective.mean(),
            ready_in,
            has_reserved: false,
        }
    }

    fn apply(&mut self, now: Moment, decided: Decided) {
        let Decided {
            waiting,
            urgency,
            outcome,
        } = decided;
        self.waiting.remove(&(waiting.node, waiting.ask.id));
        match outcome {
            Outcome::Granted(group) => self.grant(now, &waiting, urgency, group),
            Outcome::Refused { reason, room_in } => {
                self.refuse(now, &waiting, urgency, reason, room_in);
            }
        }
    }

    fn grant(&mut self, now: Moment, waiting: &Waiting, urgency: u8, group: CoordinatedGroup) {
        let Waiting { node, ask, .. } = waiting;
        let key = (group.group, group.epoch);
        let load = Load::of_ask(ask);
        self.windows.entry(group.server).or_default().record(now);
        if let Some(entry) = self.entries.get_mut(&group.entry)
            && let Some(state) = entry.group_mut(group.group, group.epoch)
        {
            state.failures.record_grant(now);
            let prompt = GrantedPrompt {
                group: key,
                tokens: self.loads.of(key).plus(load).reading_tokens,
            };
            self.prompts.insert(now, (*node, ask.id), prompt);
        }
        let grant = PendingGrant {
            ask: ask.id,
            key,
            load,
            sent_at: now,
        };
        self.loads.grant(*node, grant);
        if let Some(peer) = self.peers.get_mut(node) {
            peer.keep(now, ask.id, Decision::Granted(group, load));
            peer.grants.push(grant_of(ask.id, group));
            self.reply_due.set(*node, now);
        }
        self.emit(CoordinatorEvent::Granted {
            node: *node,
            ask: ask.id,
            entry: ask.entry,
            group: group.group,
            urgency,
            is_repeated: waiting.is_repeated,
            waited: now.since(waiting.since),
        });
    }

    fn refuse(
        &mut self,
        now: Moment,
        waiting: &Waiting,
        urgency: u8,
        reason: RefusalReason,
        room_in: Duration,
    ) {
        let Waiting { node, ask, .. } = waiting;
        if let Some(objective_at) = waiting.objective_at {
            self.refused.insert(now, ask.fingerprint, objective_at);
        }
        let refusal = RefusedAsk {
            ask: ask.id,
            reason,
            retry_ms: self.retry_ms(*node, ask.id, room_in),
        };
        if let Some(peer) = self.peers.get_mut(node) {
            peer.keep(now, ask.id, Decision::Refused(refusal));
            peer.refusals.push(refusal);
            self.reply_due.set(*node, now);
        }
        let is_overdue = waiting.objective_at.is_some_and(|at| at <= waiting.since);
        if !is_overdue
            && is_shortage(reason)
            && let Some(entry) = self.entries.get_mut(&ask.entry)
        {
            entry.demand.record_refusal(now);
        }
        let (running, limit) = self.entry_load(ask.entry);
        let first_byte = self.lowest_first_byte(now, ask);
        self.emit(CoordinatorEvent::Refused {
            node: *node,
            ask: ask.id,
            entry: ask.entry,
            reason,
            urgency,
            is_repeated: waiting.is_repeated,
            waited: now.since(waiting.since),
            retry_ms: refusal.retry_ms,
            running,
            limit,
            first_byte,
        });
    }

    /// Returns the lowest expected first byte wait of an ask at any group of its entry.
    fn lowest_first_byte(&self, now: Moment, ask: &Ask) -> Option<Duration> {
        let entry = self.entries.get(&ask.entry)?;
        let states = entry.groups.iter().zip(entry.expected_waits(now));
        let waits = states.filter_map(|(state, expected)| {
            let key = (state.group.group, state.group.epoch);
            let reading = self.loads.of(key).plus(Load::of_ask(ask)).reading_tokens;
            Some(expected?.with(to_float(reading)))
        });
        waits.min()
    }

    /// Returns when a caller may come back, in milliseconds.
    ///
    /// The times are spread, so that callers who were refused together do not come back together.
    fn retry_ms(&self, node: NodeId, ask: AskId, room_in: Duration) -> u32 {
        let base = room_in.clamp(MIN_RETRY, MAX_RETRY).as_millis();
        let base = u64::try_from(base).unwrap_or(u64::MAX);
        let mut key = [0; 16];
        key[..8].copy_from_slice(&node.0.to_le_bytes());
        key[8..].copy_from_slice(&ask.0.to_le_bytes());
        let extra = xxh3_64_with_seed(&key, self.seed) % (base + 1);
        u32::try_from(base + extra).unwrap_or(u32::MAX)
    }

    /// Answers granted asks again that were repeated.
    ///
    /// The repeated grant may be used later than the first one, so it needs a start of its own.
    pub(super) fn answer_again(&mut self, now: Moment) {
        for (node, ask) in std::mem::take(&mut self.repeats) {
            let Some(peer) = self.peers.get_mut(&node) else {
                continue;
            };
            let Some(Decision::Granted(group, load)) = peer.decision(now, ask) else {
                continue;
            };
            let limit = self.loans.available(group.server).min(group.start_limit);
            let window = self.windows.entry(group.server).or_default();
            if window.left(now, limit) > 0 {
                window.record(now);
                peer.grants.push(grant_of(ask, group));
                self.reply_due.set(node, now);
                // The node has not used the first grant, whatever it has heard since.
                self.loads.cancel(node, ask);
                self.loads.grant(
                    node,
                    PendingGrant {
                        ask,
                        key: (group.group, group.epoch),
                        load,
                        sent_at: now,
                    },
                );
            }
        }
    }
}

/// Returns whether more groups of the entry would have avoided a refusal.
///
/// An ask without a group here may be granted in another shard, and missing loans arrive soon.
const fn is_shortage(reason: RefusalReason) -> bool {
    match reason {
        RefusalReason::Overloaded | RefusalReason::Displaced | RefusalReason::TimedOut => true,
        RefusalReason::NoGroup | RefusalReason::TooLarge | RefusalReason::NotReady => false,
    }
}

const fn grant_of(ask: AskId, group: CoordinatedGroup) -> Grant {
    Grant {
        ask,
        group: group.group,
        epoch: group.epoch,
    }
}
