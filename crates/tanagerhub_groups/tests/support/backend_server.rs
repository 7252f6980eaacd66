//! A simulated VM with its backend server.

use std::time::Duration;

use tanagerhub_catalogue::{Epoch, GroupId};
use tanagerhub_clock::Moment;
use tanagerhub_groups::{GroupReport, GroupState, VmReport};

use super::engine;

/// The time a join takes on a VM that was in a group of the same model before.
const REJOIN_TIME: Duration = Duration::from_millis(200);

/// A simulated VM with its backend server.
#[derive(Debug)]
pub struct BackendServer {
    pub report: VmReport,
    /// Whether it responds and accepts connections.
    pub alive: bool,
    /// Whether another start has taken over its address and responds to probes.
    pub displaced: bool,
    /// How long it finishes requests once it is ordered to close.
    pub closing_time: Duration,
    /// What goes wrong with each join; `None` if nothing does.
    pub(super) join_fault: Option<JoinFault>,
    /// The number of orders that began something.
    pub order_count: u64,
    /// The highest epoch that it has seen.
    pub(super) highest_epoch: Epoch,
    /// The group that it was ready for and left last, with the epoch.
    pub(super) left: Option<(GroupId, Epoch)>,
    /// Names of the members of its group, the head first.
    pub(super) members: Vec<String>,
    pub(super) last_model: Option<String>,
    /// Steps in progress, and when each completes.
    pub(super) pending: Vec<(Moment, PendingStep)>,
}

/// What goes wrong with the joins of a VM.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum JoinFault {
    /// It refuses each one, as a VM that lacks the model does.
    Refused,
    /// None of them comes to an end.
    Endless,
}

/// A step that a VM completes after some time.
#[derive(Debug, Clone)]
pub(super) enum PendingStep {
    Staged(String),
    Ready(GroupId, Epoch),
    Open(GroupId, Epoch),
    Closed(GroupId, Epoch),
}

impl BackendServer {
    /// Executes a join order; returns `false` if a higher epoch was seen.
    pub(super) fn join(
        &mut self,
        now: Moment,
        membership: (GroupId, Epoch),
        model: &str,
        members: &[String],
    ) -> bool {
        let (group, epoch) = membership;
        if epoch < self.highest_epoch {
            return false;
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
        self.report.served_model = Some(model.to_owned());
        let time = if self.last_model.as_deref() == Some(model) {
            REJOIN_TIME
        } else {
            engine().model(model).unwrap().join_time
        };
        self.last_model = Some(model.to_owned());
        if self.join_fault != Some(JoinFault::Endless) {
            let done = PendingStep::Ready(group, epoch);
            self.pending.push((now + time, done));
        }
        true
    }

    /// Makes it a member of a group with these members, as by orders of another planner.
    pub fn set_group(&mut self, membership: GroupReport, members: Vec<String>) {
        self.order_count += 1;
        self.highest_epoch = self.highest_epoch.max(membership.epoch);
        self.members = members;
        self.report.group = Some(membership);
        self.report.served_model = Some("small".to_owned());
    }

    pub(super) fn set_state(&mut self, state: GroupState) {
        if let Some(membership) = &mut self.report.group {
            membership.state = state;
        }
    }

    /// Completes the due steps. Returns whether any was due.
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
                PendingStep::Closed(group, epoch) => {
                    if self.report.state_in(group, epoch) == Some(GroupState::Closing) {
                        self.set_state(GroupState::Ready);
                    }
                }
            }
        }
        changed
    }
}
