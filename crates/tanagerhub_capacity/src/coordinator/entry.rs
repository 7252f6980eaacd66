//! The groups and the waiting asks of an entry.

use std::time::Duration;

use tanagerhub_catalogue::{Epoch, GroupId, NodeId};
use tanagerhub_clock::Moment;

use super::group::GroupState;
use super::objective::MeanObjective;
use crate::coordinated_group::CoordinatedGroup;
use crate::demand::Demand;
use crate::end_rate::EndRate;
use crate::first_byte::{ExpectedWait, WaitSums};
use crate::load::Loads;
use crate::message::AskId;
use crate::service_time::median;
use crate::urgency_shares::UrgencyShares;
use crate::wait_queue::{WaitKey, WaitQueue};

/// The range of slowness; one measurement must not exclude a group from all placement.
const SLOWNESS: std::ops::RangeInclusive<f64> = 0.25..=8.0;

#[derive(Debug, Default)]
pub(super) struct EntryState {
    pub(super) groups: Vec<GroupState>,
    pub(super) queue: WaitQueue,
    pub(super) shares: UrgencyShares,
    pub(super) rate: EndRate,
    pub(super) objective: MeanObjective,
    pub(super) demand: Demand,
    /// How long before its objective a waiting ask becomes overdue, as of the last decision.
    pub(super) latest_grant: Duration,
}

impl EntryState {
    /// Replaces the groups; what was learned about a group is kept within its epoch.
    pub(super) fn set_groups(&mut self, groups: &[CoordinatedGroup]) {
        let mut former = std::mem::take(&mut self.groups);
        for &group in groups {
            let known = former.iter().position(|state| {
                state.group.group == group.group && state.group.epoch == group.epoch
            });
            let state = match known {
                Some(index) => {
                    let mut state = former.swap_remove(index);
                    state.update(group);
                    state
                }
                None => GroupState::new(group),
            };
            self.groups.push(state);
        }
    }

    pub(super) fn group_mut(&mut self, group: GroupId, epoch: Epoch) -> Option<&mut GroupState> {
        self.groups
            .iter_mut()
            .find(|state| state.group.group == group && state.group.epoch == epoch)
    }

    /// Puts the next ask that can't be on time any more behind the others of its urgency. Returns
    /// its node, its id and its new position.
    pub(super) fn next_overdue(&mut self, now: Moment) -> Option<(NodeId, AskId, WaitKey)> {
        self.queue.next_overdue(now + self.latest_grant)
    }

    /// Returns when the next ask can't be on time any more.
    pub(super) fn overdue_at(&self) -> Option<Moment> {
        let objective = self.queue.next_objective()?;
        Some(objective.before(self.latest_grant))
    }

    /// Returns the mean share of late responses at the groups other than this one. 0 without
    /// others.
    pub(super) fn usual_late_share(&self, group: GroupId) -> f64 {
        let others = self.groups.iter().filter(|it| it.group.group != group);
        let (count, sum) = others.fold((0.0, 0.0), |(count, sum), it| {
            (count + 1.0, sum + it.limit.late_share())
        });
        if count > 0.0 { sum / count } else { 0.0 }
    }

    /// Returns the number of requests at all groups.
    pub(super) fn running(&self, loads: &Loads) -> u32 {
        self.groups
            .iter()
            .map(|state| loads.of((state.group.group, state.group.epoch)).requests)
            .sum()
    }

    /// Returns the expected first byte wait of each group; `None` before any group of the entry has
    /// been measured.
    pub(super) fn expected_waits(&self, now: Moment) -> Vec<Option<ExpectedWait>> {
        let sums = self.groups.iter().map(|state| state.first_bytes.sums(now));
        let total = WaitSums::total(sums.clone().flatten());
        sums.zip(&self.groups)
            .map(|(sums, state)| {
                let read_time = state.group.token_read_time;
                total.map(|total| sums.unwrap_or_default().estimate(total, read_time))
            })
            .collect()
    }

    /// Returns the slowness of each group, relative to the median of the entry.
    pub(super) fn slowness(&self, now: Moment) -> Vec<f64> {
        let means = self.groups.iter().map(|state| state.service_time.mean(now));
        let middle = median(means.clone().flatten().collect()).filter(|&middle| middle > 0.0);
        means
            .map(|mean| match (mean, middle) {
                (Some(mean), Some(middle)) => {
                    (mean / middle).clamp(*SLOWNESS.start(), *SLOWNESS.end())
                }
                _ => 1.0,
            })
            .collect()
    }
}
