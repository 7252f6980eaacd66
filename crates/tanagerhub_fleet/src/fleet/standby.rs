//! Standby groups, which are formed and loaded on VMs that no replica needs, to shorten repairs.

use std::collections::BTreeMap;
use std::time::Duration;

use tanagerhub_catalogue::{EntryId, GroupId};
use tanagerhub_clock::Moment;

use crate::decision::Reason;
use crate::placement::{self, FreeVms};

use super::Fleet;
use super::demand::ReplicaDemand;
use super::group::Group;
use super::job::JobKind;
use super::plan::Task;

/// How long after a group broke the rows of its entry's standby groups are read repeatedly, to
/// detect a promotion.
const PROMOTION_TIMEOUT: Duration = Duration::from_secs(10);

impl Fleet {
    /// Forms standby groups while nothing loads or at most half of the load limit is in use.
    pub(super) fn plan_standbys(
        &mut self,
        now: Moment,
        demands: &[ReplicaDemand],
        free: &mut FreeVms,
        loading: usize,
    ) {
        let mut loading = loading;
        let standby_counts = self.standby_counts();
        for demand in demands {
            let has = standby_counts.get(&demand.entry).copied().unwrap_or(0);
            let wanted = (demand.max * self.settings.standbys).div_ceil(100);
            let busy = loading > 0 && (loading + demand.span) * 2 > self.settings.loads_max;
            if has >= wanted || demand.max == 0 || busy || !placement::has_room(free, demand.span) {
                continue;
            }
            if !self.is_turn(now, Task::Standby(demand.entry, has)) {
                continue;
            }
            let Some(placement) = placement::place_replica(free, demand.span, &BTreeMap::new())
            else {
                continue;
            };
            loading += demand.span;
            let entry = demand.entry;
            self.record(now, Some(entry), None, None, Reason::FormStandby);
            self.start_job(
                now,
                JobKind::Form {
                    entry,
                    placement,
                    standby: true,
                },
            );
        }
    }

    /// Records that a standby group of the broken group's entry may soon be promoted.
    pub(super) fn expect_promotion(&mut self, now: Moment, broken: GroupId) {
        if let Some(group) = self.groups.get(&broken).filter(|group| group.is_held()) {
            self.expected_promotions.insert(group.row.entry, now);
        }
    }

    /// Reads the rows of standby groups whose promotion is expected.
    ///
    /// A promotion leaves the epoch unchanged, so attestations don't reveal it.
    pub(super) fn check_promotions(&mut self, now: Moment) {
        self.expected_promotions
            .retain(|_, since| now.since(*since) < PROMOTION_TIMEOUT);
        if self.expected_promotions.is_empty() {
            return;
        }
        let expected = |group: &&Group| {
            group.row.standby && self.expected_promotions.contains_key(&group.row.entry)
        };
        let ids: Vec<GroupId> = self
            .groups
            .values()
            .filter(expected)
            .map(|group| group.id)
            .collect();
        for id in ids {
            self.request_row_read(id);
        }
    }

    /// Dissolves the largest standby group so that a replica for which there is no room can be
    /// formed.
    pub(super) fn yield_standby(&mut self, now: Moment) {
        let largest = self
            .groups
            .values()
            .filter(|group| group.row.standby && !self.jobs.has_job_for(group.id))
            .max_by_key(|group| (group.members.len(), group.id))
            .map(|group| group.id);
        let Some(group) = largest else {
            return;
        };
        if self.is_turn(now, Task::DissolveStandby) {
            self.record_group_decision(now, group, Reason::YieldStandby);
            self.start_job(now, JobKind::Dissolve { group });
        }
    }

    /// Returns the number of standby groups by entry, including those being formed.
    fn standby_counts(&self) -> BTreeMap<EntryId, u32> {
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
