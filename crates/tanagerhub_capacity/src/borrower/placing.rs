//! Chooses the shards that asks go to.

use tanagerhub_catalogue::EntryId;
use tanagerhub_clock::Moment;

use super::Borrower;
use super::answer::Answer;
use super::link::Link;
use super::pending::PendingAsk;
use crate::message::AskId;
use crate::shard::Shard;

/// Difference of utilisation from which on an ask goes to another shard than the own one.
const UTILISATION_MARGIN: f64 = 0.25;

impl Borrower {
    pub(super) fn drop_expired(&mut self, now: Moment) {
        let expired = |ask: &PendingAsk| ask.until <= now;
        let ids: Vec<AskId> = self.ids(expired);
        for id in ids {
            self.counters.expired += 1;
            if self.asks.get(&id).is_some_and(|ask| ask.refusal.is_some()) {
                self.withdraw_id(now, id);
                self.refuse(id);
            } else {
                self.cancel(now, id);
                self.answers.push(Answer::Expired { ask: id });
            }
        }
    }

    /// Moves asks that no reply answers to another shard, and renews those whose grant may be lost.
    pub(super) fn move_unanswered(&mut self, now: Moment) {
        for id in self.ids(|ask| ask.is_unanswered(now)) {
            let Some(shard) = self.asks.get(&id).and_then(|ask| ask.shard) else {
                continue;
            };
            self.asks.entry(id).and_modify(|ask| {
                if !ask.tried.contains(&shard) {
                    ask.tried.push(shard);
                }
            });
            let refused = self.asks.get(&id).is_some_and(PendingAsk::is_refused);
            match self.next_shard(now, id) {
                Some(next) => {
                    self.withdraw_id(now, id);
                    self.move_ask(id, next);
                }
                None if refused => {
                    self.withdraw_id(now, id);
                    self.refuse(id);
                }
                // It is sent again with the next request.
                None => {}
            }
        }
        for id in self.ids(|ask| ask.is_stale(now)) {
            self.counters.renewed += 1;
            self.withdraw_id(now, id);
            if let Some(ask) = self.asks.get_mut(&id) {
                ask.renew(ask.shard);
            }
        }
    }

    pub(super) fn ids(&self, filter: impl Fn(&PendingAsk) -> bool) -> Vec<AskId> {
        let asks = self.asks.iter().filter(|(_, ask)| filter(ask));
        asks.map(|(id, _)| *id).collect()
    }

    pub(super) fn move_ask(&mut self, id: AskId, shard: Shard) {
        self.counters.moved += 1;
        if let Some(ask) = self.asks.get_mut(&id) {
            ask.renew(Some(shard));
        }
    }

    /// Chooses a shard for each ask that has none.
    pub(super) fn place_asks(&mut self, now: Moment) {
        for id in self.ids(|ask| ask.shard.is_none()) {
            let shard = self.first_shard(now, id);
            if let Some(ask) = self.asks.get_mut(&id) {
                ask.shard = shard;
            }
        }
    }

    /// Returns the shards with groups of an entry: that of the entry itself if it is pooled, or
    /// else those of data centres.
    pub(super) fn links_of(&self, entry: EntryId) -> impl Iterator<Item = (Shard, &Link)> {
        let pooled = Shard::Entry(entry);
        let is_pooled = self.links.contains_key(&pooled);
        let has_groups = move |shard: Shard| match shard {
            Shard::DataCentre(_) => !is_pooled,
            Shard::Entry(id) => id == entry,
        };
        let links = self.links.iter().map(|(shard, link)| (*shard, link));
        links.filter(move |(shard, _)| has_groups(*shard))
    }

    /// Returns the shard that asks for an entry prefer.
    fn own_shard(&self, entry: EntryId) -> Shard {
        let pooled = Shard::Entry(entry);
        if self.links.contains_key(&pooled) {
            pooled
        } else {
            Shard::DataCentre(self.data_centre)
        }
    }

    /// Returns the shard that an ask goes to first: the own one, unless it has no coordinator that
    /// answers and another has, or another is used much less.
    fn first_shard(&self, now: Moment, id: AskId) -> Option<Shard> {
        let entry = self.asks.get(&id)?.ask.entry;
        let own = self.own_shard(entry);
        let Some(link) = self.links.get(&own).filter(|link| link.has_coordinator()) else {
            return self.next_shard(now, id);
        };
        if !link.is_live(now) {
            return self.next_shard(now, id).or(Some(own));
        }
        let used = link.utilisation(now, entry);
        let other = self.least_used(now, id, own);
        Some(match (used, other) {
            (Some(used), Some((shard, other))) if other + UTILISATION_MARGIN <= used => shard,
            _ => own,
        })
    }

    /// Returns the shard that an ask goes to next, to each at most once.
    pub(super) fn next_shard(&self, now: Moment, id: AskId) -> Option<Shard> {
        let pending = self.asks.get(&id)?;
        let entry = pending.ask.entry;
        if let Some((shard, _)) = self.least_used(now, id, self.own_shard(entry)) {
            return Some(shard);
        }
        self.links_of(entry)
            .find(|(shard, link)| link.is_live(now) && !pending.tried.contains(shard))
            .map(|(shard, _)| shard)
    }

    /// Returns the least used shard other than the given one, of those that were not tried yet, and
    /// its utilisation.
    fn least_used(&self, now: Moment, id: AskId, own: Shard) -> Option<(Shard, f64)> {
        let pending = self.asks.get(&id)?;
        let entry = pending.ask.entry;
        self.links_of(entry)
            .filter(|(shard, link)| {
                *shard != own && link.is_live(now) && !pending.tried.contains(shard)
            })
            .filter_map(|(shard, link)| Some((shard, link.utilisation(now, entry)?)))
            .min_by(|one, other| one.1.total_cmp(&other.1))
    }
}
