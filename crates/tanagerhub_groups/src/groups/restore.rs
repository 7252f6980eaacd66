//! Planning after the store has returned from an older copy.
//!
//! The copy lacks the newest rows of groups, and its versions are given out again. The planner keeps
//! its own groups and writes their rows again; a new planner takes up the groups that VMs report.
//! Marks in the groups' table tell the eras in which groups were planned, so that a transaction of
//! an earlier era never applies in a later one.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use tanagerhub_catalogue::{Epoch, GroupId, VmId};
use tanagerhub_clock::Moment;
use tanagerhub_table::{FeedPage, StoreEra, Transaction};

use crate::rows::{RowKind, era_key, row_kind};
use crate::{Decision, GroupReport, GroupRow, GroupsAction};

use super::Groups;
use super::group::{Dissolving, Group};
use super::planner::State;
use super::vm_entry::VmEntry;

/// The number of eras, up to the current one, that a planner marks when it takes over. A transaction
/// that is carried out late is not of an earlier one.
const MARKED_ERAS: u64 = 8;
/// The number of epochs that are left out after a return. VMs may have seen epochs that were derived
/// from versions that are lost.
const LOST_EPOCHS: u64 = 1 << 36;
/// Reports of epochs from here on are invalid.
const MAX_EPOCH: Epoch = Epoch(1 << 53);
/// The time that the list of VMs may take after the rows are complete.
const LIST_MARGIN: Duration = Duration::from_millis(500);

impl Groups {
    /// Handles the return of the store from a copy, whose rows are complete from `restored_at` on.
    pub(super) fn store_returned(&mut self, restored_at: Moment) {
        self.planner.rests_until = restored_at + LIST_MARGIN;
        self.planner.has_seen_return = true;
        for (change, _) in self.planner.take_changes() {
            if let Some(group) = self.by_id.get_mut(&change.group()) {
                group.change_pending = false;
            }
        }
        if self.planner.is_held() {
            self.planner.state = State::Returning;
            self.record(Decision::StoreReturned);
        } else {
            self.planner.state = State::Idle;
        }
    }

    /// Handles the first era that this node observes, whose rows are complete from `restored_at` on.
    /// The store may have just returned from a copy.
    pub(super) fn era_observed(&mut self, restored_at: Moment) {
        self.planner.complete_at = restored_at + LIST_MARGIN;
    }

    /// Handles a VM that has seen a higher epoch than one of this planner, as after a return.
    pub(super) fn epoch_refused(&mut self) {
        if self.planner.names_eras() {
            self.skip_lost_epochs();
        }
    }

    /// Takes the planner's row over again once the rows are complete.
    pub(super) fn retake_planner(&mut self, now: Moment) {
        if self.planner.state == State::Returning && self.planner.may_retake(now) {
            self.planner.state = State::Reading { retakes: true };
            self.actions.push(GroupsAction::ReadRows);
        }
    }

    /// Waits before the planner's row is read again to take it over.
    pub(super) fn wait_to_retake(&mut self, now: Moment) {
        self.planner.state = State::Returning;
        self.planner.paused_until = now + self.settings.change_retry_delay;
    }

    /// Applies the rows of a copy. The groups of a planner are newer; those that the copy lacks, or
    /// has at an earlier epoch, are written again, and those that it has in excess are deleted.
    pub(super) fn merge_own_groups(&mut self, now: Moment, rows: BTreeMap<GroupId, GroupRow>) {
        for group in self.by_id.values_mut() {
            group.provisional |= rows.get(&group.id) != Some(&group.row);
        }
        for (id, row) in rows {
            match self.by_id.get(&id) {
                Some(known) if known.epoch >= row.epoch => {}
                Some(_) => self.add_group(Group::new(now, id, row)),
                None => {
                    let mut group = Group::new(now, id, row);
                    group.dissolving = Some(Dissolving::HeadLeft);
                    self.add_group(group);
                }
            }
        }
    }

    /// Takes up the complete groups that VMs report to serve and that the copy lacks. Groups of the
    /// copy whose members serve in others are dissolved.
    pub(super) fn adopt_reported_groups(&mut self, now: Moment) {
        for (id, epoch) in self.serving_groups(now) {
            let is_known = self.by_id.get(&id).is_some_and(|it| it.epoch >= epoch);
            if let Some(row) = self.reported_row(id, epoch).filter(|_| !is_known) {
                let mut group = Group::new(now, id, row);
                group.provisional = true;
                self.add_group(group);
            }
        }
        let serving = self.serving_groups(now);
        let (vms, groups) = (&self.vms, &mut self.by_id);
        for group in groups.values_mut() {
            let serves_elsewhere = |vm: &VmId| {
                let report = vms.get(*vm).and_then(|entry| entry.report.group);
                report.is_some_and(|it| {
                    it.group != group.id && serving.contains(&(it.group, it.epoch))
                })
            };
            if group.members.iter().any(serves_elsewhere) {
                group.dissolving = Some(Dissolving::HeadLeaves);
            }
        }
    }

    /// Returns the row of a group that all of its members report; `None` if one is missing.
    fn reported_row(&self, id: GroupId, epoch: Epoch) -> Option<GroupRow> {
        let reports = |entry: &&VmEntry| {
            let report = entry.report.group;
            report.is_some_and(|it| (it.group, it.epoch) == (id, epoch))
        };
        let mut members: Vec<(u32, &VmEntry)> = self
            .vms
            .list
            .values()
            .filter(reports)
            .filter_map(|entry| Some((entry.report.group?.rank, entry)))
            .collect();
        members.sort_unstable_by_key(|(rank, _)| *rank);
        let (_, head) = members.first()?;
        let service = head.report.vm.service.clone()?;
        let name = head.report.served_model.clone()?;
        let engine = self.engines.iter().find(|it| it.service == service)?;
        let size = engine.model(&name)?.group_size;
        let ranks = members.iter().map(|(rank, _)| *rank);
        let is_complete = members.len() == size && ranks.eq(0..u32::try_from(size).ok()?);
        let names = members.iter().map(|(_, it)| it.report.vm.name.clone());
        is_complete.then(|| GroupRow {
            service,
            model: name,
            members: names.collect(),
            epoch,
        })
    }

    /// Raises the epochs of this planner above all that are known to have been issued, and above
    /// those that may have been lost if the rows are those of a copy.
    ///
    /// The versions that epochs come from may have fallen at an earlier return too.
    pub(super) fn raise_epochs(&mut self, is_copy: bool) {
        let reported = self.vms.list.values();
        let reported = reported.filter_map(|entry| entry.report.group);
        let reported = reported.map(|report: GroupReport| report.epoch);
        let reported = reported.filter(|epoch| *epoch < MAX_EPOCH);
        let planned = self.by_id.values().map(|group| group.epoch);
        let highest = reported.chain(planned).max().unwrap_or(Epoch(0));
        self.planner.last_epoch = self.planner.last_epoch.max(highest);
        if is_copy {
            self.skip_lost_epochs();
        }
    }

    /// Leaves out epochs that a VM may have seen, or has been found to have.
    pub(super) fn skip_lost_epochs(&mut self) {
        self.planner.last_epoch = self.planner.next_epoch();
        self.planner.last_epoch.0 += LOST_EPOCHS;
    }
}

/// Returns whether groups have been planned in the era of a page, so that its rows are not merely
/// those of a copy. A store that names no eras is not known to return.
pub(super) fn is_planned_era(page: &FeedPage) -> bool {
    let marked: BTreeSet<StoreEra> = page
        .rows
        .iter()
        .filter(|row| row.value.is_some())
        .filter_map(|row| match row_kind(&row.key) {
            RowKind::Era(era) => Some(era),
            RowKind::Planner | RowKind::Group(_) | RowKind::Guarantors | RowKind::Unknown => None,
        })
        .collect();
    page.era.is_none_or(|era| marked.contains(&era))
}

/// Adds the condition that no later era has been planned in.
pub(super) fn bind_to_era(transaction: Transaction, era: Option<StoreEra>) -> Transaction {
    match era {
        Some(StoreEra(era)) => transaction.require_absent(era_key(StoreEra(era + 1))),
        None => transaction,
    }
}

/// Marks the eras up to this one, as a planner does that takes over.
pub(super) fn mark_eras(mut transaction: Transaction, era: Option<StoreEra>) -> Transaction {
    let Some(StoreEra(newest)) = era else {
        return transaction;
    };
    for era in newest.saturating_sub(MARKED_ERAS - 1)..=newest {
        transaction = transaction.put(era_key(StoreEra(era)), vec![1]);
    }
    transaction
}
