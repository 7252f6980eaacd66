//! What other nodes find of VMs that the planner doesn't reach.
//!
//! A failed probe of one node may be due to a lost path between the two. The planner therefore asks
//! other nodes before it takes a VM for ended.

use std::time::Duration;

use tanagerhub_catalogue::VmId;
use tanagerhub_clock::Moment;

use crate::{Decision, GroupReport, GroupState, GroupsAction, SeenVm};

use super::Groups;
use super::vm_entry::VmEntry;

/// The interval at which other nodes are asked again while one of them reaches a VM.
const ASK_INTERVAL: Duration = Duration::from_millis(500);
/// The time after which a question without a reply is asked again.
const REPLY_TIMEOUT: Duration = Duration::from_secs(1);
/// The number of VMs that other nodes are asked about at the same time.
const MAX_QUESTIONS: usize = 32;

/// What other nodes have found of a VM that this node doesn't reach.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub(super) enum PeerView {
    /// They were not asked since the VM failed.
    #[default]
    Unasked,
    Asked {
        at: Moment,
    },
    /// One of them reached it as a member of a group.
    Reached {
        at: Moment,
    },
    /// None of them reached it.
    Unreached,
}

impl PeerView {
    fn is_due(self, now: Moment) -> bool {
        match self {
            Self::Unasked => true,
            Self::Asked { at } => now.since(at) >= REPLY_TIMEOUT,
            Self::Reached { at } => now.since(at) >= ASK_INTERVAL,
            Self::Unreached => false,
        }
    }
}

impl Groups {
    /// Asks other nodes about the VMs that seem to have ended.
    pub(super) fn ask_peers(&mut self, now: Moment) {
        let entries = self.vms.list.values();
        let is_asked = |entry: &&VmEntry| matches!(entry.peer_view, PeerView::Asked { .. });
        let room = MAX_QUESTIONS.saturating_sub(entries.filter(is_asked).count());
        let settings = &self.settings;
        let is_due = |entry: &VmEntry| {
            entry.is_listed() && entry.has_ended(settings) && entry.peer_view.is_due(now)
        };
        let due = self.vms.list.iter().filter(|(_, it)| is_due(it));
        let due: Vec<VmId> = due.map(|(vm, _)| *vm).take(room).collect();
        for vm in due {
            self.ask_peers_about(now, vm);
        }
    }

    /// Asks other nodes about a VM if it seems to have ended.
    pub(super) fn ask_peers_about(&mut self, now: Moment, vm: VmId) {
        let Some(entry) = self.vms.list.get_mut(&vm) else {
            return;
        };
        let has_ended = entry.is_listed() && entry.has_ended(&self.settings);
        if has_ended && entry.peer_view.is_due(now) {
            entry.peer_view = PeerView::Asked { at: now };
            self.actions.push(GroupsAction::AskPeers { vm });
        }
    }

    /// Handles what other nodes, which were asked at `asked_at`, found of a VM.
    pub(super) fn peers_replied(&mut self, now: Moment, vm: VmId, seen: Option<SeenVm>) {
        let Some(entry) = self.vms.list.get_mut(&vm) else {
            return;
        };
        if !matches!(entry.peer_view, PeerView::Asked { .. }) {
            return;
        }
        let started_ms = entry.report.started_ms;
        let same = seen.filter(|seen| seen.started_ms == started_ms);
        let membership = same.and_then(|seen| seen.group).filter(takes_part);
        if let Some(membership) = membership {
            entry.peer_view = PeerView::Reached { at: now };
            entry.report.group = Some(membership);
            let vm = entry.report.vm.name.clone();
            self.record(Decision::VmReachedByPeer { vm });
        } else {
            entry.peer_view = PeerView::Unreached;
            if let Some(term) = self.active_term(now) {
                self.plan(now, term);
            }
        }
    }
}

/// Returns whether a member has joined its group.
fn takes_part(membership: &GroupReport) -> bool {
    membership.state != GroupState::Joining
}
