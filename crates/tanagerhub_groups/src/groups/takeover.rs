//! The takeover of the planner's row.

use tanagerhub_clock::Moment;
use tanagerhub_table::{FeedPage, RowVersion, StoreVersion};

use crate::rows::{RowKind, row_kind};
use crate::{LapsedBoot, PlannerRow};

use super::Groups;
use super::planner::State;
use super::restore::{is_planned_era, mark_eras};

/// Why this node may take the planner's row over.
#[derive(Debug, Clone, PartialEq, Eq)]
enum Vacancy {
    /// The row names no planner, this process, or one that has ended.
    Free,
    /// The planner has not renewed its term for long enough, which the transaction confirms.
    Lapsed(LapsedBoot),
}

impl Groups {
    /// Takes the planner's row over if its holder allows it. Nobody holds the row of a copy, as long
    /// as this node was the planner before.
    pub(super) fn take_over(&mut self, now: Moment, page: &FeedPage, retakes: bool) {
        let is_planned = is_planned_era(page) && !(retakes && page.era.is_none());
        let is_first = self.settings.first_start && !has_planner_row(page);
        if !retakes && !is_planned && !is_first && now < self.planner.complete_at {
            // The rows are those of a copy, and what the VMs say of themselves may be missing.
            self.planner.rests_until = self.planner.complete_at;
            self.planner.state = State::Idle;
            return;
        }
        if !retakes {
            self.forget_earlier_term();
        }
        let (version, row) = if is_planned {
            self.apply_rows(now, page)
        } else {
            self.apply_copy(now, page, retakes)
        };
        self.planner.era = page.era;
        let is_own = |row: &PlannerRow| row.boot == self.settings.boot;
        let vacancy = if retakes {
            let stays = !is_planned || row.as_ref().is_some_and(is_own);
            stays.then_some(Vacancy::Free)
        } else {
            self.find_vacancy(now, version, row.as_ref())
        };
        if let Some(vacancy) = vacancy {
            self.planner.state = State::Taking { retakes };
            if retakes || page.era.is_some() {
                self.raise_epochs(!is_planned);
            }
            self.send_takeover(now, version, &vacancy);
        } else if retakes {
            self.resign_silently();
        } else {
            self.planner.state = State::Idle;
        }
    }

    /// Forgets what this node decided and knew as the planner in an earlier term.
    fn forget_earlier_term(&mut self) {
        self.by_id.clear();
        for entry in self.vms.list.values_mut() {
            entry.forget_orders();
        }
    }

    /// Sends a transaction that takes the planner's row over.
    fn send_takeover(&mut self, now: Moment, version: RowVersion, vacancy: &Vacancy) {
        let row = self.new_planner_row(self.settings.boot);
        let mut transaction = self.planner_transaction(version, &row);
        transaction = mark_eras(transaction, self.planner.era);
        if let Vacancy::Lapsed(LapsedBoot { row, version, .. }) = vacancy {
            transaction = if version.era == self.planner.era {
                transaction.require_version(row.clone(), version.version)
            } else {
                // The store lost the row with an earlier era, and the planner has not written it again.
                transaction.require_absent(row.clone())
            };
        }
        self.commit(now, &row, transaction);
    }

    /// Returns why the planner's row may be taken over; `None` if its holder may be the planner. The
    /// row is `None` if it can't be decoded, so that its holder is unknown.
    fn find_vacancy(
        &mut self,
        now: Moment,
        version: RowVersion,
        row: Option<&PlannerRow>,
    ) -> Option<Vacancy> {
        let planner = &mut self.planner;
        let boots = &planner.known_boots;
        if let Some(PlannerRow { boot, .. }) = row {
            if *boot == 0 || *boot == self.settings.boot || boots.ended.contains(boot) {
                return Some(Vacancy::Free);
            }
            if boots.live.contains(boot) {
                return None;
            }
            if let Some(lapsed) = boots.lapsed.iter().find(|lapsed| lapsed.boot == *boot) {
                return Some(Vacancy::Lapsed(lapsed.clone()));
            }
        }
        let version = StoreVersion::new(planner.era, version);
        match planner.unknown_holder {
            Some((known, since)) if known == version => {
                let has_waited = now.since(since) >= self.settings.unknown_planner_timeout;
                has_waited.then_some(Vacancy::Free)
            }
            _ => {
                planner.unknown_holder = Some((version, now));
                None
            }
        }
    }
}

fn has_planner_row(page: &FeedPage) -> bool {
    let mut rows = page.rows.iter();
    rows.any(|row| row.value.is_some() && row_kind(&row.key) == RowKind::Planner)
}
