//! Standby groups: loaded from VMs that no replica needs, to shorten repairs.

use std::collections::BTreeMap;
use std::time::Duration;

use tanagerhub_catalogue::{EntryId, GroupId};
use tanagerhub_clock::Moment;

use crate::decision::Reason;
use crate::place::{self, FreeVms};

use super::Fleet;
use super::group::Group;
use super::job::JobKind;
use super::plan::Need;
use super::wish::Wish;

/// How long the promotion of a standby group is looked for after a group broke.
const PROMOTION_WAIT: Duration = Duration::from_secs(10);

impl Fleet {
    /// Forms standby groups while the weight store has little to do.
    pub(super) fn plan_standbys(
        &mut self,
        now: Moment,
        wishes: &[Wish],
        free: &mut FreeVms,
        loading: usize,
    ) {
        let mut loading = loading;
        let standing = self.standbys();
        for wish in wishes {
            let has = standing.get(&wish.entry).copied().unwrap_or(0);
            let wanted = (wish.max * self.settings.standbys).div_ceil(100);
            let busy = loading > 0 && (loading + wish.span) * 2 > self.settings.loads_max;
            if has >= wanted || wish.max == 0 || busy || !place::fits(free, wish.span) {
                continue;
            }
            if !self.is_turn(now, Need::Standby(wish.entry, has)) {
                continue;
            }
            let Some(place) = place::take(free, wish.span, &BTreeMap::new()) else {
                continue;
            };
            loading += wish.span;
            let entry = wish.entry;
            self.note(now, Some(entry), None, None, Reason::FormStandby);
            self.start_job(
                now,
                JobKind::Form {
                    entry,
                    place,
                    standby: true,
                },
            );
        }
    }

    /// Notes that a standby group may soon take the place of a broken one.
    pub(super) fn expect_promotion(&mut self, now: Moment, broken: GroupId) {
        if let Some(group) = self.groups.get(&broken).filter(|group| group.is_held()) {
            self.promotions.insert(group.row.entry, now);
        }
    }

    /// Reads the rows of standby groups whose promotion is expected.
    ///
    /// A promotion leaves the epoch as it is, so that attestations don't show it.
    pub(super) fn look_for_promotions(&mut self, now: Moment) {
        self.promotions
            .retain(|_, since| now.since(*since) < PROMOTION_WAIT);
        if self.promotions.is_empty() {
            return;
        }
        let expected =
            |group: &&Group| group.row.standby && self.promotions.contains_key(&group.row.entry);
        let ids: Vec<GroupId> = self
            .groups
            .values()
            .filter(expected)
            .map(|group| group.id)
            .collect();
        for id in ids {
            self.hint(id);
        }
    }

    /// Gives up a standby group for a replica that has no place.
    pub(super) fn yield_standby(&mut self, now: Moment) {
        let largest = self
            .groups
            .values()
            .filter(|group| group.row.standby && !self.jobs.concerns(group.id))
            .max_by_key(|group| (group.members.len(), group.id))
            .map(|group| group.id);
        let Some(group) = largest else {
            return;
        };
        if self.is_turn(now, Need::Yield) {
            self.note_group(now, group, Reason::YieldStandby);
            self.start_job(now, JobKind::Dissolve { group });
        }
    }

    /// Standby groups by entry, with those on their way.
    fn standbys(&self) -> BTreeMap<EntryId, u32> {
        let held = self.groups.values().filter(|group| group.row.standby);
        let held = held.map(|group| group.row.entry);
        let forming = self.jobs.kinds().filter_map(|kind| match kind {
            JobKind::Form {
                entry,
                standby: true,
                ..
            } => Some(*entry),
            _ => None,
        });
        let mut count = BTreeMap::new();
        for entry in held.chain(forming) {
            *count.entry(entry).or_default() += 1;
        }
        count
    }
}
