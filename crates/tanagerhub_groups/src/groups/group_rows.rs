//! The rows of groups, as this node knows them.

use std::collections::BTreeMap;

use tanagerhub_catalogue::{Epoch, GroupId};
use tanagerhub_clock::Moment;
use tanagerhub_table::{FeedPage, RowVersion};

use crate::rows::{RowKind, decode, row_kind};
use crate::{Change, Decision, GroupRow, PlannerRow};

use super::Groups;
use super::group::Group;
use super::takeover::KnownGuarantors;
use super::term::ActiveTerm;

/// The number of heads that are remembered for each VM before those of no use are dropped.
const MAX_HEADS_PER_VM: usize = 2;

impl Groups {
    pub(super) fn apply_changes(&mut self, now: Moment, changes: Vec<(Change, Option<GroupRow>)>) {
        for (change, row) in changes {
            let epoch = row.as_ref().map(|row| row.epoch);
            self.apply_group_row(now, change.group(), row);
            self.record(Decision::Changed { change, epoch });
        }
    }

    pub(super) fn apply_group_row(&mut self, now: Moment, id: GroupId, row: Option<GroupRow>) {
        let Some(row) = row else {
            self.by_id.remove(&id);
            return;
        };
        match self.by_id.get_mut(&id) {
            Some(known) if known.epoch == row.epoch => known.provisional = false,
            _ => self.add_group(Group::new(now, id, row)),
        }
    }

    /// Adds a group, or an epoch of one, and remembers its head.
    pub(super) fn add_group(&mut self, group: Group) {
        if let Some(head) = group.head() {
            self.planner.heads.insert((group.id, group.epoch), head);
        }
        self.by_id.insert(group.id, group);
        if self.planner.heads.len() > MAX_HEADS_PER_VM * self.vms.list.len().max(1) {
            let (vms, groups) = (&self.vms, &self.by_id);
            let is_known = |(id, epoch): &(GroupId, Epoch)| {
                let planned = groups.get(id).is_some_and(|group| group.epoch == *epoch);
                planned || vms.report_membership(*id, *epoch)
            };
            self.planner
                .heads
                .retain(|membership, _| is_known(membership));
        }
    }

    /// Renews a group while the store is unreachable.
    ///
    /// The new epoch is above all epochs in the store, and below all epochs of a later planner.
    pub(super) fn renew_provisionally(
        &mut self,
        now: Moment,
        _term: ActiveTerm,
        change: Change,
        row: GroupRow,
    ) {
        let id = change.group();
        let epoch = Some(row.epoch);
        let mut group = Group::new(now, id, row);
        group.provisional = true;
        self.add_group(group);
        self.record(Decision::Changed { change, epoch });
    }

    /// Applies all rows. Returns the planner's row, which is `None` if it can't be decoded, and its
    /// version, which is zero if there is no row.
    pub(super) fn apply_rows(
        &mut self,
        now: Moment,
        page: &FeedPage,
    ) -> (RowVersion, Option<PlannerRow>) {
        let (planner_row, groups) = self.decode_rows(page);
        self.by_id.retain(|id, _| groups.contains_key(id));
        self.apply_group_rows(now, groups);
        planner_row
    }

    /// Applies the rows of a store that has returned from a copy, in which no planner has written
    /// since. `plans` says that this node was the planner.
    pub(super) fn apply_copy(
        &mut self,
        now: Moment,
        page: &FeedPage,
        plans: bool,
    ) -> (RowVersion, Option<PlannerRow>) {
        let (planner_row, groups) = self.decode_rows(page);
        if plans {
            self.merge_own_groups(now, groups);
        } else {
            self.by_id.retain(|id, _| groups.contains_key(id));
            self.apply_group_rows(now, groups);
            self.adopt_reported_groups(now);
        }
        planner_row
    }

    fn decode_rows(
        &mut self,
        page: &FeedPage,
    ) -> (
        (RowVersion, Option<PlannerRow>),
        BTreeMap<GroupId, GroupRow>,
    ) {
        let mut planner_row = (RowVersion(0), Some(PlannerRow::default()));
        let mut groups = BTreeMap::new();
        self.unreadable.clear();
        self.planner.guarantors = KnownGuarantors::Unwritten;
        for row in &page.rows {
            let Some(value) = &row.value else {
                continue;
            };
            match row_kind(&row.key) {
                RowKind::Planner => match decode(&row.key, value) {
                    Ok(content) => planner_row = (row.version, Some(content)),
                    Err(error) => {
                        planner_row = (row.version, None);
                        self.record_ignored_row(&error);
                    }
                },
                RowKind::Group(id) => match decode::<GroupRow>(&row.key, value) {
                    Ok(content) => {
                        groups.insert(id, content);
                    }
                    Err(error) => {
                        self.unreadable.insert(id);
                        self.record_ignored_row(&error);
                    }
                },
                RowKind::Guarantors => {
                    self.planner.guarantors = match decode(&row.key, value) {
                        Ok(content) => KnownGuarantors::Written(content),
                        Err(error) => {
                            self.record_ignored_row(&error);
                            KnownGuarantors::Unreadable
                        }
                    };
                }
                RowKind::Era(_) | RowKind::Unknown => {}
            }
        }
        (planner_row, groups)
    }

    /// Applies the groups' rows. A provisional renewal is kept if its epoch is newer and its
    /// members are in no other group.
    pub(super) fn apply_group_rows(&mut self, now: Moment, rows: BTreeMap<GroupId, GroupRow>) {
        let held = holders(&rows);
        for (id, row) in rows {
            let stays = |known: &Group| {
                let mut members = known.row.members.iter();
                let own = members.all(|name| held.get(name).is_none_or(|holder| *holder == id));
                known.provisional && known.epoch > row.epoch && own
            };
            if !self.by_id.get(&id).is_some_and(stays) {
                self.apply_group_row(now, id, Some(row));
            }
        }
    }

    fn record_ignored_row(&mut self, error: &crate::RowError) {
        let reason = error.to_string();
        self.record(Decision::RowIgnored { reason });
    }
}

/// Returns the group of each VM according to the rows.
fn holders(rows: &BTreeMap<GroupId, GroupRow>) -> BTreeMap<String, GroupId> {
    let members = rows
        .iter()
        .flat_map(|(id, row)| row.members.iter().map(|name| (name.clone(), *id)));
    members.collect()
}
