//! Doubt about a node's own links: probes of several VMs fail, and none succeeds.

use std::collections::BTreeSet;
use std::time::Duration;

use tanagerhub_catalogue::VmId;
use tanagerhub_clock::Moment;

use super::Groups;

/// The number of different VMs with failed probes, without a successful one in between, from which
/// on the node's own links may have failed.
const FAILED_VMS: usize = 3;
/// The number of other VMs that are probed then, to settle the doubt.
const CONTROL_PROBES: usize = 3;
/// The minimum interval between such probes.
const CONTROL_INTERVAL: Duration = Duration::from_millis(100);
/// How long the answer of one VM shows that the planner's links work.
const ANSWER_LIFETIME: Duration = Duration::from_secs(1);
/// How long a planner is cut off until it resigns.
const RESIGN_DELAY: Duration = Duration::from_millis(500);

/// The evidence for a failure of this node's own links.
#[derive(Debug, Default)]
pub(super) struct LinkDoubt {
    /// The VMs whose probes failed since the last successful probe.
    failed: BTreeSet<VmId>,
    /// When other VMs were last probed because of a doubt.
    probed_at: Moment,
    /// Since when the node has been cut off from most backend servers.
    cut_off_since: Option<Moment>,
    /// When it last was.
    pub(super) cut_off_until: Moment,
    /// When a VM last answered a probe.
    answered_at: Option<Moment>,
}

impl LinkDoubt {
    /// Records the result of a probe.
    pub(super) fn record(&mut self, now: Moment, vm: VmId, succeeded: bool) {
        if succeeded {
            self.failed.clear();
            self.answered_at = Some(now);
        } else {
            self.failed.insert(vm);
        }
    }

    fn exists(&self) -> bool {
        self.failed.len() >= FAILED_VMS
    }

    /// Returns whether a VM has answered within `period`. If most backend servers are out of reach, they
    /// have failed rather than the links then.
    fn has_answer(&self, now: Moment, period: Duration) -> bool {
        self.answered_at.is_some_and(|at| now.since(at) < period)
    }
}

impl Groups {
    /// Returns whether this node's own links may have failed, so that failed probes say nothing
    /// about the VMs.
    pub(super) fn are_links_in_doubt(&self) -> bool {
        self.links.exists() || self.reach().is_cut_off()
    }

    /// Returns whether this node, as the planner, may reach no VM, so that it changes no groups.
    pub(super) fn may_reach_no_vm(&self, now: Moment) -> bool {
        let has_answer = self.links.has_answer(now, ANSWER_LIFETIME);
        self.links.exists() || self.reach().is_cut_off() && !has_answer
    }

    /// Probes VMs that have not failed while the links are in doubt.
    pub(super) fn settle_link_doubt(&mut self, now: Moment) {
        let is_cut_off = self.planner.is_held() && self.links.cut_off_since.is_some();
        let is_open = is_cut_off && !self.links.has_answer(now, ANSWER_LIFETIME / 2);
        if !(is_open || self.links.exists()) || now.since(self.links.probed_at) < CONTROL_INTERVAL {
            return;
        }
        self.links.probed_at = now;
        let entries = self.vms.list.iter();
        let sound = entries.filter(|(_, entry)| entry.failures == 0 && entry.is_listed());
        let controls: Vec<VmId> = sound.map(|(vm, _)| *vm).take(CONTROL_PROBES).collect();
        for vm in controls {
            self.probe(now, vm);
        }
    }

    /// Resigns as planner once this node has been cut off for a while, so that another one plans.
    pub(super) fn resign_if_cut_off(&mut self, now: Moment) {
        if !self.reach().is_cut_off() {
            self.links.cut_off_since = None;
            return;
        }
        self.links.cut_off_until = now;
        let since = *self.links.cut_off_since.get_or_insert(now);
        let has_answer = self.links.has_answer(now, ANSWER_LIFETIME);
        let is_long = now.since(since) >= RESIGN_DELAY && !has_answer;
        if self.planner.is_held() && !self.store_unreachable && is_long {
            self.resign_planner(now);
        }
    }
}
