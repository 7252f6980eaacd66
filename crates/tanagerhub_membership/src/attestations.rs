//! Attestations of complete groups, in buckets that two nodes can compare.

use std::collections::BTreeMap;
use std::ops::RangeInclusive;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use tanagerhub_catalogue::{Epoch, GroupId, Health};
use tanagerhub_clock::Moment;
use xxhash_rust::xxh3::Xxh3;

use crate::AttestedAge;

/// Time that a group stays in the directory after it was last observed to be complete.
const DIRECTORY_TTL: Duration = Duration::from_secs(30);
/// Number of buckets of the directory; a power of two.
const BUCKETS: usize = 16;
/// Number of low bits of a group's id that do not select its bucket.
const BUCKET_SHIFT: u32 = u64::BITS - BUCKETS.trailing_zeros();
/// Maximum number of groups; at the limit, other groups are ignored until some expire.
const MAX_GROUPS: usize = 4_096;
/// Maximum number of attestations listed in full in one batch.
const MAX_LISTED: usize = 60;

/// The last observation that a group was complete.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Attestation {
    pub(crate) epoch: Epoch,
    pub(crate) health: Health,
    pub(crate) at: Moment,
}

impl Attestation {
    /// Returns the age and health in their wire encoding.
    fn aged(&self, now: Moment) -> AttestedAge {
        AttestedAge::new(now.since(self.at), self.health)
    }
}

/// The first two bytes of the hash of each bucket.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Default, Serialize, Deserialize)]
#[serde(transparent)]
pub struct DirectoryDigest([u8; 2 * BUCKETS]);

impl DirectoryDigest {
    /// Returns the two bytes of one bucket.
    fn bucket(&self, bucket: usize) -> [u8; 2] {
        [self.0[2 * bucket], self.0[2 * bucket + 1]]
    }
}

/// A batch of attestations.
///
/// Buckets in which both nodes have the same groups are sent as ages only. The two bytes of a
/// [`DirectoryDigest`] may match by chance, so the receiver applies the ages only if the full
/// hash matches.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct AttestationBatch {
    /// One bit for each bucket that is sent as ages only.
    agreed: u16,
    /// The full hash over those buckets.
    check: u64,
    /// One age per group of those buckets, in the order of the group ids.
    ages: Vec<AttestedAge>,
    /// Groups of other buckets in full; consecutive batches contain different groups.
    listed: Vec<(GroupId, Epoch, AttestedAge)>,
}

/// The directory of groups that were recently observed to be complete.
#[derive(Debug, Default)]
pub(crate) struct Attestations {
    known: BTreeMap<GroupId, Attestation>,
    hashes: [u64; BUCKETS],
    cursor: Option<GroupId>,
}

impl Attestations {
    /// Records that a group was complete at a moment. Returns whether the attestation is newer
    /// than the recorded one, or the first of its group and within [`MAX_GROUPS`].
    pub(crate) fn record(&mut self, group: GroupId, new: Attestation) -> bool {
        let old = self.known.get(&group).copied();
        if old.is_some_and(|old| (old.epoch, old.at) >= (new.epoch, new.at)) {
            return false;
        }
        if old.is_none() && self.known.len() >= MAX_GROUPS {
            return false;
        }
        self.known.insert(group, new);
        if old.is_none_or(|old| old.epoch != new.epoch) {
            self.rehash(bucket_of(group));
        }
        true
    }

    /// Drops groups whose last attestation is older than [`DIRECTORY_TTL`].
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

    /// Returns each group with its last attestation.
    pub(crate) fn iter(&self) -> impl Iterator<Item = (GroupId, Attestation)> + '_ {
        self.known.iter().map(|(group, known)| (*group, *known))
    }

    /// Returns a digest that differs between different directories, but for hash collisions.
    pub(crate) fn digest(&self) -> DirectoryDigest {
        let mut digest = DirectoryDigest::default();
        for (bucket, hash) in self.hashes.iter().enumerate() {
            let bytes = hash.to_le_bytes();
            digest.0[2 * bucket..2 * bucket + 2].copy_from_slice(&bytes[..2]);
        }
        digest
    }

    /// Returns a batch for a peer whose directory has the digest `peer`.
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

    /// Merges a batch that is at most `transit` old. Returns the attestations that were new.
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
        let mut updates = Vec::new();
        for (group, epoch, age) in received {
            let Some((age, health)) = age.unpack() else {
                continue;
            };
            let at = now.before(age + transit);
            let new = Attestation { epoch, health, at };
            if self.record(group, new) {
                updates.push((group, new));
            }
        }
        updates
    }

    /// Returns the groups of the agreed buckets, in order.
    fn agreed(&self, agreed: u16) -> impl Iterator<Item = (&GroupId, &Attestation)> {
        let buckets = (0..BUCKETS).filter(move |bucket| agreed & 1 << bucket != 0);
        buckets.flat_map(|bucket| self.known.range(groups_of(bucket)))
    }

    /// Returns groups of the other buckets, starting where the last list ended.
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
