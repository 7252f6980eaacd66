//! Changes of groups on their way into the store.
//!
//! Each transaction holds the planner's row at the version that this node knows, and writes it. So
//! changes come one after the other, and one whose answer was lost can't apply after a later one.

use std::collections::BTreeMap;

use rand::Rng as _;
use tanagerhub_catalogue::{Epoch, GroupId};
use tanagerhub_clock::Moment;
use tanagerhub_table::{Commit, FeedPage, RowVersion, Transaction, TransactionId};

use crate::rows::{RowKind, decode, encode, group_key, planner_key, row_kind};
use crate::{Change, Decision, GroupRow, GroupsAction, KnownBoots, PlannerRow};

use super::Groups;
use super::group::Group;

/// Epochs that a planner can give out before its row gets a new version.
const EPOCHS_PER_VERSION: u64 = 1 << 16;

/// What this node knows of the planner's row.
#[derive(Debug, Default)]
pub(super) struct Planner {
    state: State,
    /// The last version at which this node held the row, from which epochs are made.
    epoch_base: RowVersion,
    /// Epochs made since.
    epochs_issued: u64,
    /// What is known of the nodes, for the judgement on the planner's row.
    known_boots: KnownBoots,
    /// The planner's row of an unknown node, and since when it has been like that.
    unknown_holder: Option<(RowVersion, Moment)>,
    /// Before when the store, which refused the last change, is left alone.
    paused_until: Moment,
    /// The changes in the transaction under way.
    changes: Vec<(Change, Option<GroupRow>)>,
}

#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
enum State {
    /// Another node plans, or none.
    #[default]
    Idle,
    /// The rows are being read, in order to take the planner's row.
    Reading,
    /// The planner's row is being taken.
    Taking,
    /// This node plans; the row is at this version.
    Held(RowVersion),
    /// A change is under way from this version.
    Changing(RowVersion),
    /// A change has an unknown fate, and the rows are being read.
    ReadingBack,
}

impl Planner {
    pub(super) const fn is_held(&self) -> bool {
        matches!(
            self.state,
            State::Held(_) | State::Changing(_) | State::ReadingBack
        )
    }

    /// Notes that this node holds the row; the steps go on where the version is the same.
    fn set_held(&mut self, version: RowVersion) {
        self.state = State::Held(version);
        if self.epoch_base != version {
            self.epoch_base = version;
            self.epochs_issued = 0;
        }
    }

    /// An epoch above all that were given out before, by any node.
    pub(super) const fn next_epoch(&mut self) -> Epoch {
        self.epochs_issued += 1;
        Epoch(self.epoch_base.0 * EPOCHS_PER_VERSION + self.epochs_issued)
    }

    /// Whether a change may be sent.
    pub(super) fn can_commit(&self, now: Moment) -> bool {
        matches!(self.state, State::Held(_)) && now >= self.paused_until
    }
}

impl Groups {
    pub(super) fn become_planner(&mut self, boots: KnownBoots) {
        self.planner.known_boots = boots;
        if self.planner.state == State::Idle {
            self.planner.state = State::Reading;
            self.actions.push(GroupsAction::ReadRows);
        }
    }

    pub(super) fn resign_planner(&mut self) {
        if self.planner.is_held() {
            self.record(Decision::PlannerYielded);
        }
        if let State::Held(version) = self.planner.state {
            // Tells the others at once; nothing depends on whether this succeeds.
            self.send_transaction(version, 0, &[]);
        }
        self.planner.state = State::Idle;
        self.planner.changes.clear();
    }

    pub(super) fn apply_read(&mut self, now: Moment, page: Option<FeedPage>) {
        match (self.planner.state, page) {
            (State::Reading, Some(page)) => {
                let (version, row) = self.apply_rows(now, &page);
                if self.can_take_over(now, version, &row) {
                    self.planner.state = State::Taking;
                    self.send_transaction(version, self.settings.boot, &[]);
                } else {
                    self.planner.state = State::Idle;
                }
            }
            (State::Reading, None) => self.planner.state = State::Idle,
            (State::ReadingBack, Some(page)) => {
                let (version, row) = self.apply_rows(now, &page);
                self.planner.changes.clear();
                if row.boot == self.settings.boot {
                    self.planner.set_held(version);
                } else {
                    self.resign_planner();
                }
            }
            (State::ReadingBack, None) => self.actions.push(GroupsAction::ReadRows),
            (State::Idle | State::Taking | State::Held(_) | State::Changing(_), _) => {}
        }
    }

    /// Sends changes in one transaction; each brings the row that it leaves behind.
    pub(super) fn submit_changes(&mut self, changes: Vec<(Change, Option<GroupRow>)>) {
        let State::Held(version) = self.planner.state else {
            return;
        };
        for (change, _) in &changes {
            if let Some(group) = self.by_id.get_mut(&change.group()) {
                group.change_pending = true;
            }
            self.record(Decision::Changing(change.clone()));
        }
        self.planner.state = State::Changing(version);
        self.send_transaction(version, self.settings.boot, &changes);
        self.planner.changes = changes;
    }

    /// Whether the node in the planner's row no longer plans.
    fn can_take_over(&mut self, now: Moment, version: RowVersion, row: &PlannerRow) -> bool {
        let planner = &mut self.planner;
        if row.boot == 0
            || row.boot == self.settings.boot
            || planner.known_boots.ended.contains(&row.boot)
        {
            return true;
        }
        if planner.known_boots.live.contains(&row.boot) {
            return false;
        }
        match planner.unknown_holder {
            Some((known, since)) if known == version => {
                now.since(since) >= self.settings.unknown_planner_timeout
            }
            _ => {
                planner.unknown_holder = Some((version, now));
                false
            }
        }
    }

    fn send_transaction(
        &mut self,
        version: RowVersion,
        boot: u64,
        changes: &[(Change, Option<GroupRow>)],
    ) {
        let nonce = self.rng.next_u64();
        let row = PlannerRow { boot, nonce };
        let mut transaction =
            Transaction::new(TransactionId(u128::from(nonce))).put(planner_key(), encode(&row));
        transaction = if version == RowVersion(0) {
            transaction.absent(planner_key())
        } else {
            transaction.at(planner_key(), version)
        };
        for (change, row) in changes {
            let key = group_key(change.group());
            transaction = match row {
                Some(row) => transaction.put(key, encode(row)),
                None => transaction.delete(key),
            };
        }
        self.actions.push(GroupsAction::Commit(transaction));
    }

    pub(super) fn apply_commit(&mut self, now: Moment, commit: Commit) {
        let changes = std::mem::take(&mut self.planner.changes);
        for (change, _) in &changes {
            if let Some(group) = self.by_id.get_mut(&change.group()) {
                group.change_pending = false;
            }
        }
        match (self.planner.state, commit) {
            (State::Taking, Commit::Applied(version)) => {
                self.planner.set_held(version);
                self.record(Decision::PlannerTaken { version: version.0 });
            }
            (State::Taking, _) => {
                self.planner.state = State::Idle;
                self.record_change_failure(commit);
            }
            (State::Changing(_), Commit::Applied(version)) => {
                self.planner.set_held(version);
                self.apply_changes(now, changes);
            }
            (State::Changing(version), Commit::NotApplied) => {
                self.planner.state = State::Held(version);
                self.planner.paused_until = now + self.settings.change_retry_delay;
                self.record_change_failure(commit);
            }
            (State::Changing(_), Commit::Conflict | Commit::Unknown) => {
                self.planner.state = State::ReadingBack;
                self.record_change_failure(commit);
                self.actions.push(GroupsAction::ReadRows);
            }
            (State::Idle | State::Reading | State::Held(_) | State::ReadingBack, _) => {}
        }
    }

    fn record_change_failure(&mut self, commit: Commit) {
        let answer = format!("{commit:?}");
        self.record(Decision::ChangeFailed { answer });
    }

    fn apply_changes(&mut self, now: Moment, changes: Vec<(Change, Option<GroupRow>)>) {
        for (change, row) in changes {
            let epoch = row.as_ref().map(|row| row.epoch);
            self.apply_group_row(now, change.group(), row);
            self.record(Decision::Changed { change, epoch });
        }
    }

    fn apply_group_row(&mut self, now: Moment, id: GroupId, row: Option<GroupRow>) {
        let Some(row) = row else {
            self.by_id.remove(&id);
            return;
        };
        match self.by_id.get_mut(&id) {
            Some(known) if known.epoch == row.epoch => known.provisional = false,
            _ => {
                self.by_id.insert(id, Group::new(now, id, row));
            }
        }
    }

    /// Renews a group before the store can know of it.
    ///
    /// The epoch is above all that the store knows, and below all that a later planner makes.
    pub(super) fn renew_provisionally(&mut self, now: Moment, change: Change, row: GroupRow) {
        let id = change.group();
        let epoch = Some(row.epoch);
        let mut group = Group::new(now, id, row);
        group.provisional = true;
        self.by_id.insert(id, group);
        self.record(Decision::Changed { change, epoch });
    }

    /// Stops planning without a word to the store, since another planner is at work.
    pub(super) fn resign_silently(&mut self) {
        self.record(Decision::PlannerYielded);
        self.planner.state = State::Idle;
        self.planner.changes.clear();
    }

    /// Takes in all rows; returns the planner's row and its version, zero when there is none.
    fn apply_rows(&mut self, now: Moment, page: &FeedPage) -> (RowVersion, PlannerRow) {
        // A row that can't be read belongs to nobody.
        let mut planner_row = (RowVersion(0), PlannerRow::default());
        let mut groups = BTreeMap::new();
        for row in &page.rows {
            let Some(value) = &row.value else {
                continue;
            };
            match row_kind(&row.key) {
                RowKind::Planner => match decode(&row.key, value) {
                    Ok(content) => planner_row = (row.version, content),
                    Err(error) => {
                        planner_row.0 = row.version;
                        self.record_ignored_row(&error);
                    }
                },
                RowKind::Group(id) => match decode::<GroupRow>(&row.key, value) {
                    Ok(content) => {
                        groups.insert(id, Some(content));
                    }
                    Err(error) => {
                        groups.insert(id, None);
                        self.record_ignored_row(&error);
                    }
                },
                RowKind::Unknown => {}
            }
        }
        self.by_id.retain(|id, _| groups.contains_key(id));
        self.apply_group_rows(now, groups);
        planner_row
    }

    /// Takes in the groups' rows, except where this node has renewed a group since.
    fn apply_group_rows(&mut self, now: Moment, rows: BTreeMap<GroupId, Option<GroupRow>>) {
        let held = holders(&rows);
        for (id, row) in rows {
            let Some(row) = row else {
                continue;
            };
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

/// The group that holds each VM by the rows.
fn holders(rows: &BTreeMap<GroupId, Option<GroupRow>>) -> BTreeMap<String, GroupId> {
    let rows = rows
        .iter()
        .filter_map(|(id, row)| Some((*id, row.as_ref()?)));
    rows.flat_map(|(id, row)| row.members.iter().map(move |name| (name.clone(), id)))
        .collect()
}
