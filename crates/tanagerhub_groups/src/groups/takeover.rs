//! The takeover of the planner's row.

use std::net::SocketAddr;
use std::time::Duration;

use tanagerhub_clock::Moment;
use tanagerhub_table::{FeedPage, RowVersion, StoreVersion};

use crate::rows::{RowKind, row_kind};
use crate::{Decision, GroupsAction, GuarantorsRow, LapsedBoot, PlannerRow};

use super::Groups;
use super::planner::State;
use super::restore::{is_planned_era, mark_eras};
use super::term::LONGEST_TERM;

/// What a node has read of the guarantors of the planner's term.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub(super) enum KnownGuarantors {
    /// There is no such row: the planner is one of an earlier build, which asks nobody.
    #[default]
    Unwritten,
    /// The row can't be decoded.
    Unreadable,
    Written(GuarantorsRow),
}

/// Why this node may take the planner's row over.
#[derive(Debug, Clone, PartialEq, Eq)]
enum Vacancy {
    /// The row names no planner, this process, or one that has ended.
    Free,
    /// The planner has not renewed its term for long enough, but may extend it without the store.
    Silent(SilentPlanner),
}

/// A planner that has not renewed its term for long enough.
#[derive(Debug, Clone, PartialEq, Eq)]
struct SilentPlanner {
    /// Its boot id; `None` if the planner's row can't be decoded.
    boot: Option<u64>,
    /// What the transaction confirms; `None` if the planner's presence row is not known.
    lapsed: Option<LapsedBoot>,
    /// How long its row has not changed.
    silent: Duration,
}

/// A takeover that waits until nobody can extend the term of a silent planner.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct Claim {
    planner: SilentPlanner,
    /// The version of the planner's row.
    version: RowVersion,
    /// Whether groups have been planned in the era of the rows.
    is_planned: bool,
    asked_at: Moment,
}

/// The proof that the term of a silent planner has ended and that nobody extends it any more.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Consent(());

impl Consent {
    /// Returns the proof by the answer of a node without which the planner extends no term, after the
    /// time that it has named.
    fn by_answer(wait: Option<Duration>) -> Option<Self> {
        wait.is_some_and(|wait| wait.is_zero()).then_some(Self(()))
    }

    /// Returns the proof by the time that the planner has been silent.
    fn by_silence(silent: Duration) -> Option<Self> {
        (silent >= LONGEST_TERM).then_some(Self(()))
    }
}

/// Whom to ask about a silent planner.
enum Question {
    /// Nobody, as the planner asks nobody and so extends no term.
    Needless(Consent),
    /// These nodes, beside the planner itself.
    Nodes(Vec<SocketAddr>),
}

impl KnownGuarantors {
    /// Returns whom to ask about a silent planner.
    fn question(&self, boot: Option<u64>) -> Question {
        match self {
            Self::Unreadable => Question::Nodes(Vec::new()),
            Self::Written(row) if boot.is_none_or(|boot| boot == row.boot) => {
                if row.nodes.is_empty() {
                    Question::Needless(Consent(()))
                } else {
                    Question::Nodes(row.nodes.clone())
                }
            }
            // Planners of earlier builds write no such row.
            Self::Unwritten | Self::Written(_) => Question::Needless(Consent(())),
        }
    }
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
        match vacancy {
            Some(Vacancy::Free) => {
                self.planner.state = State::Taking { retakes };
                self.send_takeover(now, version, is_planned, None);
            }
            Some(Vacancy::Silent(planner)) => {
                let claim = Claim {
                    planner,
                    version,
                    is_planned,
                    asked_at: now,
                };
                self.ask_consent(now, claim);
            }
            None if retakes => self.resign_silently(),
            None => self.planner.state = State::Idle,
        }
    }

    /// Forgets what this node decided and knew as the planner in an earlier term.
    fn forget_earlier_term(&mut self) {
        self.by_id.clear();
        for entry in self.vms.list.values_mut() {
            entry.forget_orders();
        }
    }

    /// Asks whether anybody extends the term of a silent planner.
    fn ask_consent(&mut self, now: Moment, claim: Claim) {
        let guarantors = match self.planner.guarantors.question(claim.planner.boot) {
            Question::Needless(consent) => return self.take_silent(now, claim, consent),
            Question::Nodes(guarantors) => guarantors,
        };
        self.planner.state = State::Asking;
        self.actions.push(GroupsAction::AskConsent {
            planner: claim.planner.boot.unwrap_or_default(),
            guarantors,
            asked_at: claim.asked_at,
        });
        self.planner.claim = Some(claim);
    }

    /// Handles the answer to the question of [`Self::ask_consent`]. Without a consent this node tries
    /// again later.
    pub(super) fn consent_answered(
        &mut self,
        now: Moment,
        asked_at: Moment,
        wait: Option<Duration>,
    ) {
        let is_asked = |claim: &mut Claim| claim.asked_at == asked_at;
        if self.planner.state != State::Asking {
            return;
        }
        let Some(claim) = self.planner.claim.take_if(is_asked) else {
            return;
        };
        let silent = claim.planner.silent;
        let consent = Consent::by_answer(wait).or_else(|| Consent::by_silence(silent));
        if let Some(consent) = consent {
            return self.take_silent(now, claim, consent);
        }
        let millis = |time: Duration| u64::try_from(time.as_millis()).unwrap_or(u64::MAX);
        self.planner.state = State::Idle;
        self.record(Decision::TakeoverWaits {
            consent_ms: wait.map(millis),
            silent_ms: millis(silent),
        });
    }

    /// Takes the row of a silent planner over.
    fn take_silent(&mut self, now: Moment, claim: Claim, _consent: Consent) {
        self.planner.state = State::Taking { retakes: false };
        let (version, is_planned) = (claim.version, claim.is_planned);
        self.send_takeover(now, version, is_planned, claim.planner.lapsed);
    }

    /// Sends a transaction that takes the planner's row over, if a planner that has lapsed has not
    /// renewed its term.
    fn send_takeover(
        &mut self,
        now: Moment,
        version: RowVersion,
        is_planned: bool,
        lapsed: Option<LapsedBoot>,
    ) {
        let retakes = self.planner.state == State::Taking { retakes: true };
        if retakes || self.planner.era.is_some() {
            // A copy has a planner's row unless it is older than the first planner.
            let has_planner = version != RowVersion(0) || self.planner.has_seen_return;
            self.raise_epochs(!is_planned && has_planner);
        }
        let row = self.new_planner_row(self.settings.boot);
        let mut transaction = self.planner_transaction(version, &row);
        transaction = mark_eras(transaction, self.planner.era);
        if let Some(LapsedBoot { row, version, .. }) = lapsed {
            transaction = if version.era == self.planner.era {
                transaction.require_version(row, version.version)
            } else {
                // The store lost the row with an earlier era, and the planner has not written it again.
                transaction.require_absent(row)
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
        let holder = row.map(|row| row.boot);
        if let Some(boot) = holder {
            if boot == 0 || boot == self.settings.boot || boots.ended.contains(&boot) {
                return Some(Vacancy::Free);
            }
            if boots.live.contains(&boot) {
                return None;
            }
            if let Some(lapsed) = boots.lapsed.iter().find(|lapsed| lapsed.boot == boot) {
                return Some(Vacancy::Silent(SilentPlanner {
                    boot: holder,
                    lapsed: Some(lapsed.clone()),
                    silent: lapsed.unchanged,
                }));
            }
        }
        let version = StoreVersion::new(planner.era, version);
        match planner.unknown_holder {
            Some((known, since)) if known == version => {
                let silent = now.since(since);
                let has_waited = silent >= self.settings.unknown_planner_timeout;
                has_waited.then_some(Vacancy::Silent(SilentPlanner {
                    boot: holder,
                    lapsed: None,
                    silent,
                }))
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
