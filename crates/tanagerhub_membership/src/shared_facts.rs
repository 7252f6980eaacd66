//! The facts that a node has observed itself or received from peers.

use std::collections::BTreeMap;
use std::ops::Bound;
use std::time::Duration;

use tanagerhub_catalogue::GroupId;
use tanagerhub_clock::Moment;

use crate::attestations::{Attestation, Attestations};
use crate::{AgedFact, AttestationBatch, DirectoryDigest, Fact, FactBatch, FactKey, WireFact};

/// Maximum number of facts other than attestations; at the limit, [`SharedFacts::record`] drops
/// facts with new keys until some expire.
const MAX_OTHER: usize = 4_096;
/// Maximum number of facts other than attestations in one batch.
const MAX_LISTED: usize = 12;

#[derive(Debug, Clone, Copy)]
struct KnownFact {
    fact: Fact,
    at: Moment,
}

/// Facts by key: the newest replaces older ones, ages include the transit time, and the size is
/// limited.
///
/// Most shared facts are attestations. Nodes compare hashes of the groups that they have recorded;
/// where the hashes agree, one byte of age per group is sufficient.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use tanagerhub_catalogue::{Epoch, GroupId, Health};
/// use tanagerhub_clock::Moment;
/// use tanagerhub_membership::{AgedFact, Fact, SharedFacts};
///
/// let mut facts = SharedFacts::default();
/// let fact = Fact::Attested { group: GroupId(5), epoch: Epoch(1), health: Health::Warm };
/// facts.record(AgedFact { fact, age: Duration::ZERO }, Moment::ZERO);
/// let later = Moment::from_millis(300);
/// let known: Vec<_> = facts.aged(later).collect();
/// assert_eq!(known[0].age, Duration::from_millis(300));
/// ```
#[derive(Debug, Default)]
pub struct SharedFacts {
    attested: Attestations,
    others: BTreeMap<FactKey, KnownFact>,
    cursor: Option<FactKey>,
}

impl SharedFacts {
    /// Records a fact. Returns whether it was new.
    pub fn record(&mut self, aged: AgedFact, now: Moment) -> bool {
        if aged.age >= aged.fact.ttl() {
            return false;
        }
        let at = now.before(aged.age);
        if let Fact::Attested {
            group,
            epoch,
            health,
        } = aged.fact
        {
            let attestation = Attestation { epoch, health, at };
            return self.attested.record(group, attestation);
        }
        let key = aged.fact.key();
        let new = KnownFact {
            fact: aged.fact,
            at,
        };
        let order = |known: &KnownFact| (known.fact.precedence(), known.at);
        match self.others.get(&key) {
            Some(old) if order(&new) <= order(old) => return false,
            None if self.others.len() >= MAX_OTHER => return false,
            Some(_) | None => {}
        }
        self.others.insert(key, new);
        true
    }

    /// Drops facts that are older than their TTL.
    pub fn expire(&mut self, now: Moment) {
        self.attested.expire(now);
        self.others
            .retain(|_, known| now.since(known.at) < known.fact.ttl());
    }

    /// Returns the number of recorded facts.
    #[must_use]
    pub fn len(&self) -> usize {
        self.attested.len() + self.others.len()
    }

    /// Returns whether no fact is recorded.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Returns every fact with its age, without those older than their TTL.
    pub fn aged(&self, now: Moment) -> impl Iterator<Item = AgedFact> + '_ {
        let attested = self.attested.iter().map(|(group, seen)| KnownFact {
            fact: attested_fact(group, &seen),
            at: seen.at,
        });
        let known = attested.chain(self.others.values().copied());
        let aged = known.map(move |known| AgedFact {
            fact: known.fact,
            age: now.since(known.at),
        });
        aged.filter(|aged| aged.age < aged.fact.ttl())
    }

    /// Returns a digest of the attested groups, for comparison with another node's.
    #[must_use]
    pub fn digest(&self) -> DirectoryDigest {
        self.attested.digest()
    }

    /// Returns a batch for a peer of the same region whose directory has the digest `peer`.
    pub fn batch(&mut self, peer: &DirectoryDigest, now: Moment) -> FactBatch {
        FactBatch {
            attested: self.attested.batch(peer, now),
            other: self.next_facts(now, |_| true),
        }
    }

    /// Returns a batch for a peer in another region.
    pub fn remote_batch(&mut self, now: Moment) -> FactBatch {
        FactBatch {
            attested: AttestationBatch::default(),
            other: self.next_facts(now, Fact::is_global),
        }
    }

    /// Merges a batch that is at most `transit` old. Returns the facts that were new.
    pub fn merge(&mut self, batch: &FactBatch, transit: Duration, now: Moment) -> Vec<AgedFact> {
        let groups = self.attested.merge(&batch.attested, transit, now);
        let mut updates: Vec<AgedFact> = Vec::new();
        for fact in &batch.other {
            let mut aged = fact.aged();
            aged.age += transit;
            if self.record(aged, now) {
                updates.push(aged);
            }
        }
        let facts = groups.iter().map(|(group, seen)| AgedFact {
            fact: attested_fact(*group, seen),
            age: now.since(seen.at),
        });
        updates.extend(facts);
        updates
    }

    /// Returns some of the other facts, starting where the last batch ended.
    fn next_facts(&mut self, now: Moment, wanted: impl Fn(&Fact) -> bool) -> Vec<WireFact> {
        let start = self.cursor.map_or(Bound::Unbounded, Bound::Excluded);
        let after = self.others.range((start, Bound::Unbounded));
        let until = self.cursor.map(Bound::Included);
        let before = until.map(|end| self.others.range((Bound::Unbounded, end)));
        let all = after.chain(before.into_iter().flatten());
        let all = all.filter(|(_, known)| wanted(&known.fact));
        let window: Vec<_> = all.take(MAX_LISTED).map(|(_, known)| *known).collect();
        self.cursor = window.last().map(|known| known.fact.key());
        let item = |known: &KnownFact| WireFact::new(known.fact, now.since(known.at));
        window.iter().map(item).collect()
    }
}

const fn attested_fact(group: GroupId, seen: &Attestation) -> Fact {
    Fact::Attested {
        group,
        epoch: seen.epoch,
        health: seen.health,
    }
}
