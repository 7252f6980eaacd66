//! The facts that a node knows, own and heard.

use std::collections::BTreeMap;
use std::ops::Bound;
use std::time::Duration;

use tanagerhub_catalogue::{Epoch, GroupId, Health};
use tanagerhub_clock::Moment;
use xxhash_rust::xxh3::Xxh3;

use crate::fact_batch::{Attestation, AttestedPart, FactBatch, WireFact};
use crate::{AgedFact, Fact, FactKey};

/// The most facts that are kept; the oldest of a kind go first.
const MAX_FACTS: usize = 4_096;
/// Explicit attestations in one batch.
const MAX_EXPLICIT: usize = 60;
/// Other facts in one batch.
const MAX_OTHER: usize = 12;

#[derive(Debug, Clone, Copy)]
struct Known {
    fact: Fact,
    at: Moment,
}

/// Facts by what they are about: the newest wins, ages add up, the size is bounded.
///
/// Attestations are most of what is shared. Two nodes that know the same groups at the same epochs
/// have the same [`SharedFacts::directory`]; between them one byte of age per group is enough.
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
/// facts.learn(AgedFact { fact, age: Duration::ZERO }, Moment::ZERO);
/// let later = Moment::from_millis(300);
/// let known: Vec<_> = facts.aged(later).collect();
/// assert_eq!(known[0].age, Duration::from_millis(300));
/// ```
#[derive(Debug, Default)]
pub struct SharedFacts {
    known: BTreeMap<FactKey, Known>,
    cursor: Option<FactKey>,
    explicit_cursor: Option<FactKey>,
}

impl SharedFacts {
    /// Takes in a fact; says whether it is news.
    pub fn learn(&mut self, aged: AgedFact, now: Moment) -> bool {
        if aged.age >= aged.fact.life() {
            return false;
        }
        let key = aged.fact.key();
        let new = Known {
            fact: aged.fact,
            at: now.before(aged.age),
        };
        if let Some(old) = self.known.get(&key) {
            let order = |known: &Known| (known.fact.rank(), known.at);
            if order(&new) <= order(old) {
                return false;
            }
        } else if self.known.len() >= MAX_FACTS {
            self.expire(now);
            if self.known.len() >= MAX_FACTS {
                return false;
            }
        }
        self.known.insert(key, new);
        true
    }

    /// Drops facts that are older than their life.
    pub fn expire(&mut self, now: Moment) {
        self.known
            .retain(|_, known| now.since(known.at) < known.fact.life());
    }

    /// How many facts are known.
    #[must_use]
    pub fn len(&self) -> usize {
        self.known.len()
    }

    /// Whether no fact is known.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.known.is_empty()
    }

    /// Every fact with its age.
    pub fn aged(&self, now: Moment) -> impl Iterator<Item = AgedFact> + '_ {
        self.known.values().map(move |known| AgedFact {
            fact: known.fact,
            age: now.since(known.at),
        })
    }

    /// A hash over the attested groups and their epochs.
    #[must_use]
    pub fn directory(&self) -> u64 {
        let mut hasher = Xxh3::new();
        for (group, epoch, ..) in self.attested() {
            hasher.update(&group.0.to_le_bytes());
            hasher.update(&epoch.0.to_le_bytes());
        }
        hasher.digest()
    }

    /// Fills a batch for a peer whose directory is `directory`.
    pub fn batch(&mut self, directory: u64, now: Moment) -> FactBatch {
        let own = self.directory();
        let attested = if own == directory {
            let ages = self
                .attested()
                .map(|(_, _, health, at)| Attestation::of(now.since(at), health));
            AttestedPart::Ages {
                directory: own,
                ages: ages.collect(),
            }
        } else {
            AttestedPart::Listed(self.listed(now))
        };
        FactBatch {
            attested,
            other: self.others(now, |_| true),
        }
    }

    /// Fills a batch for a peer in another region.
    pub fn far_batch(&mut self, now: Moment) -> FactBatch {
        FactBatch {
            attested: AttestedPart::default(),
            other: self.others(now, Fact::is_global),
        }
    }

    /// Takes in a batch that is `transit` old at most; gives back what is news.
    pub fn merge(&mut self, batch: &FactBatch, transit: Duration, now: Moment) -> Vec<AgedFact> {
        let mut heard: Vec<AgedFact> = batch.other.iter().map(WireFact::aged).collect();
        match &batch.attested {
            AttestedPart::Ages { directory, ages } if *directory == self.directory() => {
                let groups: Vec<_> = self.attested().collect();
                let pairs = groups.into_iter().zip(ages);
                let facts = pairs.map(|((group, epoch, ..), age)| aged(group, epoch, *age));
                heard.extend(facts.flatten());
            }
            AttestedPart::Ages { .. } => {}
            AttestedPart::Listed(list) => {
                let facts = list.iter();
                heard.extend(facts.filter_map(|(group, epoch, age)| aged(*group, *epoch, *age)));
            }
        }
        for fact in &mut heard {
            fact.age += transit;
        }
        heard.retain(|fact| self.learn(*fact, now));
        heard
    }

    fn attested(&self) -> impl Iterator<Item = (GroupId, Epoch, Health, Moment)> + '_ {
        let range = FactKey::Attested(GroupId(0))..=FactKey::Attested(GroupId(u64::MAX));
        let known = self.known.range(range).map(|(_, known)| known);
        known.filter_map(|known| match known.fact {
            Fact::Attested {
                group,
                epoch,
                health,
            } => Some((group, epoch, health, known.at)),
            _ => None,
        })
    }

    /// Attestations in full, from where the last list ended.
    fn listed(&mut self, now: Moment) -> Vec<(GroupId, Epoch, Attestation)> {
        let is_attested = |fact: &Fact| matches!(fact, Fact::Attested { .. });
        let window = self.window(self.explicit_cursor, MAX_EXPLICIT, is_attested);
        self.explicit_cursor = window.last().map(|known| known.fact.key());
        let item = |known: &Known| match known.fact {
            Fact::Attested {
                group,
                epoch,
                health,
            } => Some((group, epoch, Attestation::of(now.since(known.at), health))),
            _ => None,
        };
        window.iter().filter_map(item).collect()
    }

    /// Other facts, from where the last batch ended.
    fn others(&mut self, now: Moment, wanted: impl Fn(&Fact) -> bool) -> Vec<WireFact> {
        let is_other = |fact: &Fact| !matches!(fact, Fact::Attested { .. }) && wanted(fact);
        let window = self.window(self.cursor, MAX_OTHER, is_other);
        self.cursor = window.last().map(|known| known.fact.key());
        let item = |known: &Known| WireFact::new(known.fact, now.since(known.at));
        window.iter().map(item).collect()
    }

    /// Up to `limit` facts after `cursor`, going round at the end.
    fn window(
        &self,
        cursor: Option<FactKey>,
        limit: usize,
        wanted: impl Fn(&Fact) -> bool,
    ) -> Vec<Known> {
        let start = cursor.map_or(Bound::Unbounded, Bound::Excluded);
        let end = cursor.map_or(
            Bound::Excluded(FactKey::Attested(GroupId(0))),
            Bound::Included,
        );
        let after = self.known.range((start, Bound::Unbounded));
        let before = self.known.range((Bound::Unbounded, end));
        let all = after.chain(before).map(|(_, known)| *known);
        all.filter(|known| wanted(&known.fact))
            .take(limit)
            .collect()
    }
}

fn aged(group: GroupId, epoch: Epoch, attested: Attestation) -> Option<AgedFact> {
    let (age, health) = attested.open()?;
    Some(AgedFact {
        fact: Fact::Attested {
            group,
            epoch,
            health,
        },
        age,
    })
}
