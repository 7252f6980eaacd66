//! Changes of groups on their way into the store.
//!
//! Each transaction holds the planner's row at the version that this node knows, and writes it. So
//! changes come one after the other, and one whose answer was lost can't apply after a later one.

use std::collections::BTreeMap;

use rand::Rng as _;
use tanagerhub_catalogue::{Epoch, GroupId};
use tanagerhub_clock::Moment;
use tanagerhub_table::{Commit, FeedPage, RowVersion, Transaction, TransactionId};

use crate::rows::{Subject, decode, encode, group_key, planner_key, subject};
use crate::{Change, Decision, GroupRow, GroupsAction, KnownBoots, PlannerRow};

use super::Groups;
use super::group::Group;

/// Epochs that a planner can give out before its row gets a new version.
const EPOCHS: u64 = 1 << 16;

/// What this node knows of the planner's row.
#[derive(Debug, Default)]
pub(super) struct Ledger {
    state: State,
    /// The last version at which this node held the row, from which epochs are made.
    base: RowVersion,
    /// Epochs made since.
    steps: u64,
    /// What is known of the nodes, for the judgement on the planner's row.
    boots: KnownBoots,
    /// The planner's row of an unknown node, and since when it has been like that.
    unknown: Option<(RowVersion, Moment)>,
    /// Before when the store, which refused the last change, is left alone.
    pause: Moment,
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

impl Ledger {
    pub(super) const fn is_held(&self) -> bool {
        matches!(
            self.state,
            State::Held(_) | State::Changing(_) | State::ReadingBack
        )
    }

    /// Notes that this node holds the row; the steps go on where the version is the same.
    fn hold(&mut self, version: RowVersion) {
        self.state = State::Held(version);
        if self.base != version {
            self.base = version;
            self.steps = 0;
        }
    }

    /// An epoch above all that were given out before, by any node.
    pub(super) const fn next_epoch(&mut self) -> Epoch {
        self.steps += 1;
        Epoch(self.base.0 * EPOCHS + self.steps)
    }

    /// Whether a change may be sent.
    pub(super) fn is_free(&self, now: Moment) -> bool {
        matches!(self.state, State::Held(_)) && now >= self.pause
    }
}

impl Groups {
    pub(super) fn try_to_plan(&mut self, boots: KnownBoots) {
        self.ledger.boots = boots;
        if self.ledger.state == State::Idle {
            self.ledger.state = State::Reading;
            self.out.push(GroupsAction::ReadRows);
        }
    }

    pub(super) fn yield_plan(&mut self) {
        if self.ledger.is_held() {
            self.note(Decision::PlannerYielded);
        }
        if let State::Held(version) = self.ledger.state {
            // Tells the others at once; nothing depends on whether this succeeds.
            self.send(version, 0, &[]);
        }
        self.ledger.state = State::Idle;
        self.ledger.changes.clear();
    }

    pub(super) fn rows_read(&mut self, now: Moment, page: Option<FeedPage>) {
        match (self.ledger.state, page) {
            (State::Reading, Some(page)) => {
                let (version, row) = self.load_rows(now, &page);
                if self.may_take(now, version, &row) {
                    self.ledger.state = State::Taking;
                    self.send(version, self.settings.boot, &[]);
                } else {
                    self.ledger.state = State::Idle;
                }
            }
            (State::Reading, None) => self.ledger.state = State::Idle,
            (State::ReadingBack, Some(page)) => {
                let (version, row) = self.load_rows(now, &page);
                self.ledger.changes.clear();
                if row.boot == self.settings.boot {
                    self.ledger.hold(version);
                } else {
                    self.yield_plan();
                }
            }
            (State::ReadingBack, None) => self.out.push(GroupsAction::ReadRows),
            (State::Idle | State::Taking | State::Held(_) | State::Changing(_), _) => {}
        }
    }

    /// Sends changes in one transaction; each brings the row that it leaves behind.
    pub(super) fn change(&mut self, changes: Vec<(Change, Option<GroupRow>)>) {
        let State::Held(version) = self.ledger.state else {
            return;
        };
        for (change, _) in &changes {
            if let Some(group) = self.known.get_mut(&change.group()) {
                group.changing = true;
            }
            self.note(Decision::Changing(change.clone()));
        }
        self.ledger.state = State::Changing(version);
        self.send(version, self.settings.boot, &changes);
        self.ledger.changes = changes;
    }

    /// Whether the node in the planner's row no longer plans.
    fn may_take(&mut self, now: Moment, version: RowVersion, row: &PlannerRow) -> bool {
        let ledger = &mut self.ledger;
        if row.boot == 0 || row.boot == self.settings.boot || ledger.boots.gone.contains(&row.boot)
        {
            return true;
        }
        if ledger.boots.live.contains(&row.boot) {
            return false;
        }
        match ledger.unknown {
            Some((known, since)) if known == version => {
                now.since(since) >= self.settings.unknown_wait
            }
            _ => {
                ledger.unknown = Some((version, now));
                false
            }
        }
    }

    fn send(&mut self, version: RowVersion, boot: u64, changes: &[(Change, Option<GroupRow>)]) {
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
        self.out.push(GroupsAction::Commit(transaction));
    }

    pub(super) fn committed(&mut self, now: Moment, commit: Commit) {
        let changes = std::mem::take(&mut self.ledger.changes);
        for (change, _) in &changes {
            if let Some(group) = self.known.get_mut(&change.group()) {
                group.changing = false;
            }
        }
        match (self.ledger.state, commit) {
            (State::Taking, Commit::Applied(version)) => {
                self.ledger.hold(version);
                self.note(Decision::PlannerTaken { version: version.0 });
            }
            (State::Taking, _) => {
                self.ledger.state = State::Idle;
                self.note_failure(commit);
            }
            (State::Changing(_), Commit::Applied(version)) => {
                self.ledger.hold(version);
                self.apply(now, changes);
            }
            (State::Changing(version), Commit::NotApplied) => {
                self.ledger.state = State::Held(version);
                self.ledger.pause = now + self.settings.change_again;
                self.note_failure(commit);
            }
            (State::Changing(_), Commit::Conflict | Commit::Unknown) => {
                self.ledger.state = State::ReadingBack;
                self.note_failure(commit);
                self.out.push(GroupsAction::ReadRows);
            }
            (State::Idle | State::Reading | State::Held(_) | State::ReadingBack, _) => {}
        }
    }

    fn note_failure(&mut self, commit: Commit) {
        let answer = format!("{commit:?}");
        self.note(Decision::ChangeFailed { answer });
    }

    fn apply(&mut self, now: Moment, changes: Vec<(Change, Option<GroupRow>)>) {
        for (change, row) in changes {
            let epoch = row.as_ref().map(|row| row.epoch);
            self.adopt(now, change.group(), row);
            self.note(Decision::Changed { change, epoch });
        }
    }

    fn adopt(&mut self, now: Moment, id: GroupId, row: Option<GroupRow>) {
        let Some(row) = row else {
            self.known.remove(&id);
            return;
        };
        match self.known.get_mut(&id) {
            Some(known) if known.epoch == row.epoch => known.provisional = false,
            _ => {
                self.known.insert(id, Group::new(now, id, row));
            }
        }
    }

    /// Renews a group before the store can know of it.
    ///
    /// The epoch is above all that the store knows, and below all that a later planner makes.
    pub(super) fn renew_blind(&mut self, now: Moment, change: Change, row: GroupRow) {
        let id = change.group();
        let epoch = Some(row.epoch);
        let mut group = Group::new(now, id, row);
        group.provisional = true;
        self.known.insert(id, group);
        self.note(Decision::Changed { change, epoch });
    }

    /// Stops planning without a word to the store, since another planner is at work.
    pub(super) fn give_way(&mut self) {
        self.note(Decision::PlannerYielded);
        self.ledger.state = State::Idle;
        self.ledger.changes.clear();
    }

    /// Takes in all rows; returns the planner's row and its version, zero when there is none.
    fn load_rows(&mut self, now: Moment, page: &FeedPage) -> (RowVersion, PlannerRow) {
        // A row that can't be read belongs to nobody.
        let mut planner = (RowVersion(0), PlannerRow::default());
        let mut groups = BTreeMap::new();
        for row in &page.rows {
            let Some(value) = &row.value else {
                continue;
            };
            match subject(&row.key) {
                Subject::Planner => match decode(&row.key, value) {
                    Ok(content) => planner = (row.version, content),
                    Err(error) => {
                        planner.0 = row.version;
                        self.ignore_row(&error);
                    }
                },
                Subject::Group(id) => match decode::<GroupRow>(&row.key, value) {
                    Ok(content) => {
                        groups.insert(id, Some(content));
                    }
                    Err(error) => {
                        groups.insert(id, None);
                        self.ignore_row(&error);
                    }
                },
                Subject::Unknown => {}
            }
        }
        self.known.retain(|id, _| groups.contains_key(id));
        self.load_groups(now, groups);
        planner
    }

    /// Takes in the groups' rows, except where this node has renewed a group since.
    fn load_groups(&mut self, now: Moment, rows: BTreeMap<GroupId, Option<GroupRow>>) {
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
            if !self.known.get(&id).is_some_and(stays) {
                self.adopt(now, id, Some(row));
            }
        }
    }

    fn ignore_row(&mut self, error: &crate::RowError) {
        let reason = error.to_string();
        self.note(Decision::RowIgnored { reason });
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
