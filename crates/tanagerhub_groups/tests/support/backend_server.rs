//! A VM and its backend server in memory.

use std::time::Duration;

use tanagerhub_catalogue::{Epoch, GroupId};
use tanagerhub_clock::Moment;
use tanagerhub_groups::{GroupReport, GroupState, OrderResult, VmReport};

use super::engine;

/// How long a join of a member takes that was in a group of the model before.
const REJOIN_TIME: Duration = Duration::from_millis(200);

/// One VM and its backend server.
#[derive(Debug)]
pub struct BackendServer {
    pub report: VmReport,
    /// Whether it answers and listens.
    pub alive: bool,
    /// Whether another start has its address, and answers reports in its place.
    pub displaced: bool,
    /// The highest epoch that it has seen.
    pub(super) highest_epoch: Epoch,
    /// The members of its group, the head first.
    pub(super) members: Vec<String>,
    pub(super) last_model: Option<String>,
    /// What it is about to have done, and when.
    pub(super) pending: Vec<(Moment, PendingStep)>,
}

/// What a VM ends after a while.
#[derive(Debug, Clone)]
pub(super) enum PendingStep {
    Staged(String),
    Ready(GroupId, Epoch),
    Open(GroupId, Epoch),
}

impl BackendServer {
    /// Takes the order to join, as the newest epoch demands.
    pub(super) fn join(
        &mut self,
        now: Moment,
        membership: (GroupId, Epoch),
        model: &str,
        members: &[String],
    ) -> OrderResult {
        let (group, epoch) = membership;
        if epoch < self.highest_epoch {
            return OrderResult::Stale;
        }
        if self.report.state_in(group, epoch).is_some() {
            return OrderResult::Accepted;
        }
        assert!(self.report.has_staged(model), "{model} is not staged");
        self.highest_epoch = epoch;
        self.members = members.to_vec();
        let name = &self.report.vm.name;
        let rank = members.iter().position(|member| member == name).unwrap();
        self.report.group = Some(GroupReport {
            group,
            epoch,
            rank: u32::try_from(rank).unwrap(),
            state: GroupState::Joining,
        });
        self.report.serves = Some(model.to_owned());
        let time = if self.last_model.as_deref() == Some(model) {
            REJOIN_TIME
        } else {
            engine().model(model).unwrap().join_time
        };
        self.last_model = Some(model.to_owned());
        self.pending
            .push((now + time, PendingStep::Ready(group, epoch)));
        OrderResult::Accepted
    }

    pub(super) fn set_state(&mut self, state: GroupState) {
        if let Some(membership) = &mut self.report.group {
            membership.state = state;
        }
    }

    /// Does what is due; says whether its report changed.
    pub(super) fn advance(&mut self, now: Moment) -> bool {
        let (due, later) = std::mem::take(&mut self.pending)
            .into_iter()
            .partition::<Vec<_>, _>(|(at, _)| *at <= now);
        self.pending = later;
        let changed = !due.is_empty();
        for (_, done) in due {
            match done {
                PendingStep::Staged(model) => self.report.staged = vec![model],
                PendingStep::Ready(group, epoch) => {
                    if self.report.state_in(group, epoch) == Some(GroupState::Joining) {
                        self.set_state(GroupState::Ready);
                    }
                }
                PendingStep::Open(group, epoch) => {
                    if self.report.state_in(group, epoch) == Some(GroupState::Ready) {
                        self.set_state(GroupState::Open);
                    }
                }
            }
        }
        changed
    }
}
