//! Groups that were seen whole, in buckets that two nodes can compare.

use std::collections::BTreeMap;
use std::ops::RangeInclusive;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use tanagerhub_catalogue::{Epoch, GroupId, Health};
use tanagerhub_clock::Moment;
use xxhash_rust::xxh3::Xxh3;

use crate::AttestedAge;

/// How long a group stays in the directory after it was last seen whole.
const DIRECTORY_TTL: Duration = Duration::from_secs(30);
/// Buckets of the directory; a power of two.
const BUCKETS: usize = 16;
/// Bits of a group's id that don't name its bucket.
const BUCKET_SHIFT: u32 = u64::BITS - BUCKETS.trailing_zeros();
/// Attestations listed in full in one batch.
const MAX_LISTED: usize = 60;

/// When a group was last seen whole.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Attestation {
    pub(crate) epoch: Epoch,
    pub(crate) health: Health,
    pub(crate) at: Moment,
}

impl Attestation {
    /// Its age and health as they travel.
    fn aged(&self, now: Moment) -> AttestedAge {
        AttestedAge::new(now.since(self.at), self.health)
    }
}

/// Two bytes of the hash of each bucket.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Default, Serialize, Deserialize)]
#[serde(transparent)]
pub struct DirectoryDigest([u8; 2 * BUCKETS]);

impl DirectoryDigest {
    /// The two bytes of one bucket.
    fn bucket(&self, bucket: usize) -> [u8; 2] {
        [self.0[2 * bucket], self.0[2 * bucket + 1]]
    }
}

/// Attestations in a batch.
///
/// Buckets in which both ends know the same groups travel as ages alone. The two bytes of a
/// [`DirectoryDigest`] only hint at that; the asker checks the whole hash before it believes them.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct AttestationBatch {
    /// One bit for each bucket that travels as ages.
    agreed: u16,
    /// The hash over those buckets.
    check: u64,
    /// One age per group of those buckets, in order.
    ages: Vec<AttestedAge>,
    /// Groups of other buckets in full, a different part each time.
    listed: Vec<(GroupId, Epoch, AttestedAge)>,
}

/// The groups that were seen whole of late.
#[derive(Debug, Default)]
pub(crate) struct Attestations {
    known: BTreeMap<GroupId, Attestation>,
    hashes: [u64; BUCKETS],
    cursor: Option<GroupId>,
}

impl Attestations {
    /// Notes that a group was whole at a moment; says whether that is news.
    pub(crate) fn record(&mut self, group: GroupId, new: Attestation) -> bool {
        let old = self.known.get(&group).copied();
        if old.is_some_and(|old| (old.epoch, old.at) >= (new.epoch, new.at)) {
            return false;
        }
        self.known.insert(group, new);
        if old.is_none_or(|old| old.epoch != new.epoch) {
            self.rehash(bucket_of(group));
        }
        true
    }

    /// Drops groups that were not seen for long.
    pub(crate) fn expire(&mut self, now: Moment) {
        let before = self.known.len();
        self.known
            .retain(|_, known| now.since(known.at) < DIRECTORY_TTL);
        if self.known.len() != before {
            (0..BUCKETS).for_each(|bucket| self.rehash(bucket));
        }
    }

    pub(crate) fn len(&self) -> usize {
        self.known.len()
    }

    /// Each group with its last attestation.
    pub(crate) fn iter(&self) -> impl Iterator<Item = (GroupId, Attestation)> + '_ {
        self.known.iter().map(|(group, known)| (*group, *known))
    }

    /// What tells two directories apart, up to chance.
    pub(crate) fn digest(&self) -> DirectoryDigest {
        let mut digest = DirectoryDigest::default();
        for (bucket, hash) in self.hashes.iter().enumerate() {
            let bytes = hash.to_le_bytes();
            digest.0[2 * bucket..2 * bucket + 2].copy_from_slice(&bytes[..2]);
        }
        digest
    }

    /// Fills a batch for a peer with this digest.
    pub(crate) fn batch(&mut self, peer: &DirectoryDigest, now: Moment) -> AttestationBatch {
        let own = self.digest();
        let same = |bucket: &usize| own.bucket(*bucket) == peer.bucket(*bucket);
        let agreed = (0..BUCKETS).filter(same).fold(0, |all, it| all | 1 << it);
        let ages = self.agreed(agreed);
        AttestationBatch {
            agreed,
            check: self.check(agreed),
            ages: ages.map(|(_, known)| known.aged(now)).collect(),
            listed: self.listed(agreed, now),
        }
    }

    /// Takes in a batch that is `transit` old at most; gives back the groups that are news.
    pub(crate) fn merge(
        &mut self,
        batch: &AttestationBatch,
        transit: Duration,
        now: Moment,
    ) -> Vec<(GroupId, Attestation)> {
        let mut received = batch.listed.clone();
        if self.check(batch.agreed) == batch.check {
            let groups = self.agreed(batch.agreed).zip(&batch.ages);
            received.extend(groups.map(|((group, known), age)| (*group, known.epoch, *age)));
        }
        let mut news = Vec::new();
        for (group, epoch, age) in received {
            let Some((age, health)) = age.unpack() else {
                continue;
            };
            let at = now.before(age + transit);
            let new = Attestation { epoch, health, at };
            if self.record(group, new) {
                news.push((group, new));
            }
        }
        news
    }

    /// Groups of the agreed buckets, in order.
    fn agreed(&self, agreed: u16) -> impl Iterator<Item = (&GroupId, &Attestation)> {
        let buckets = (0..BUCKETS).filter(move |bucket| agreed & 1 << bucket != 0);
        buckets.flat_map(|bucket| self.known.range(groups_of(bucket)))
    }

    /// Groups of the other buckets, from where the last list ended.
    fn listed(&mut self, agreed: u16, now: Moment) -> Vec<(GroupId, Epoch, AttestedAge)> {
        let start = self.cursor.unwrap_or_default();
        let after = self
            .known
            .range(start..)
            .skip_while(|(group, _)| **group == start);
        let before = self.known.range(..=start);
        let open = after.chain(before);
        let open = open.filter(|(group, _)| agreed & 1 << bucket_of(**group) == 0);
        let aged = open.map(|(group, known)| (*group, known.epoch, known.aged(now)));
        let recent = aged.filter(|(_, _, age)| age.unpack().is_some());
        let listed: Vec<_> = recent.take(MAX_LISTED).collect();
        self.cursor = listed.last().map(|(group, _, _)| *group);
        listed
    }

    fn check(&self, agreed: u16) -> u64 {
        let mut hasher = Xxh3::new();
        for (bucket, hash) in self.hashes.iter().enumerate() {
            if agreed & 1 << bucket != 0 {
                hasher.update(&hash.to_le_bytes());
            }
        }
        hasher.digest()
    }

    fn rehash(&mut self, bucket: usize) {
        let mut hasher = Xxh3::new();
        for (group, known) in self.known.range(groups_of(bucket)) {
            hasher.update(&group.0.to_le_bytes());
            hasher.update(&known.epoch.0.to_le_bytes());
        }
        self.hashes[bucket] = hasher.digest();
    }
}

fn bucket_of(group: GroupId) -> usize {
    usize::try_from(group.0 >> BUCKET_SHIFT).unwrap_or(0)
}

fn groups_of(bucket: usize) -> RangeInclusive<GroupId> {
    let first = (bucket as u64) << BUCKET_SHIFT;
    GroupId(first)..=GroupId(first | (u64::MAX >> (u64::BITS - BUCKET_SHIFT)))
}
