//! A model of an operator's mark and a node that sends work and may be paused.
//!
//! Time advances in whole seconds. An operator's mark is committed at some moment. A node reads the
//! version from the store, decides to send, may be paused at any point, and sends.

use std::time::Duration;

use pathfinding::directed::bfs::bfs_reach;
use tanagerhub_catalogue::CatalogueVersion;
use tanagerhub_clock::Moment;
use tanagerhub_membership::{Confirmations, is_recent};

/// Time for which a confirmation of the version allows new work.
const FRESHNESS_LIMIT: Duration = Duration::from_secs(4);
/// Time after a mark from which on no node may send under the old version.
const MARK_LIMIT: Duration = Duration::from_secs(5);
/// The last moment that is explored, in seconds.
const LAST_S: u64 = 14;

/// When a node checks whether its view is still fresh.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Recheck {
    /// When it decides to send, and again right before it sends.
    BeforeSend,
    /// Only when it decides to send.
    Never,
}

/// The variant of the model to explore.
#[derive(Debug, Clone, Copy)]
pub struct PauseModel {
    pub recheck: Recheck,
}

/// The result of an exploration.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Verdict {
    pub states: usize,
    pub is_safe: bool,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct State {
    now: Moment,
    /// When the mark was committed as version 1.
    marked_at: Option<Moment>,
    held: CatalogueVersion,
    seen: Confirmations,
    /// A response of the store that the node has not applied yet.
    response: Option<(Moment, CatalogueVersion)>,
    /// The version under which the node has decided to send.
    decided: Option<CatalogueVersion>,
    /// Whether work was sent too late under the old version.
    violated: bool,
}

impl PauseModel {
    /// Explores every reachable state, or stops at the first unsafe one.
    pub fn explore(self) -> Verdict {
        let start = State {
            now: Moment::ZERO,
            marked_at: None,
            held: CatalogueVersion(0),
            seen: Confirmations::default(),
            response: None,
            decided: None,
            violated: false,
        };
        let mut states = 0;
        for state in bfs_reach(start, |state| self.next(state)) {
            states += 1;
            if state.violated {
                return Verdict {
                    states,
                    is_safe: false,
                };
            }
        }
        Verdict {
            states,
            is_safe: true,
        }
    }

    /// Returns the successor states. A pause is a sequence of steps in which only time advances.
    fn next(self, state: &State) -> Vec<State> {
        let mut next = Vec::new();
        let mut step = |change: &dyn Fn(&mut State)| {
            let mut after = state.clone();
            change(&mut after);
            next.push(after);
        };
        if state.now < Moment::from_millis(LAST_S * 1_000) {
            step(&|after| after.now = after.now + Duration::from_secs(1));
        }
        if state.marked_at.is_none() {
            step(&|after| after.marked_at = Some(after.now));
        }
        let head = CatalogueVersion(u64::from(state.marked_at.is_some()));
        if state.response.is_none() {
            step(&|after| after.response = Some((after.now, head)));
        }
        if let Some((at, version)) = state.response {
            step(&|after| {
                after.response = None;
                after.seen.record_store(version, at);
                after.held = version.max(after.held);
            });
        }
        if state.decided.is_none() && is_fresh(state) {
            step(&|after| after.decided = Some(after.held));
        }
        if let Some(version) = state.decided {
            step(&|after| self.send(after, version));
        }
        next
    }

    fn send(self, state: &mut State, version: CatalogueVersion) {
        state.decided = None;
        let rechecked = match self.recheck {
            Recheck::BeforeSend => is_fresh(state) && state.held == version,
            Recheck::Never => true,
        };
        let late = state
            .marked_at
            .is_some_and(|at| state.now.since(at) >= MARK_LIMIT);
        state.violated = rechecked && late && version == CatalogueVersion(0);
    }
}

fn is_fresh(state: &State) -> bool {
    let confirmed = state.seen.newest(1, state.held);
    confirmed.is_some_and(|(at, _)| is_recent(at, state.now, FRESHNESS_LIMIT))
}
