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
}

impl LinkDoubt {
    /// Records the result of a probe.
    pub(super) fn record(&mut self, vm: VmId, succeeded: bool) {
        if succeeded {
            self.failed.clear();
        } else {
            self.failed.insert(vm);
        }
    }

    fn exists(&self) -> bool {
        self.failed.len() >= FAILED_VMS
    }
}

impl Groups {
    /// Returns whether this node's own links may have failed, so that failed probes say nothing
    /// about the VMs.
    pub(super) fn are_links_in_doubt(&self) -> bool {
        self.links.exists() || self.reach().is_cut_off()
    }

    /// Probes VMs that have not failed while the links are in doubt.
    pub(super) fn settle_link_doubt(&mut self, now: Moment) {
        if !self.links.exists() || now.since(self.links.probed_at) < CONTROL_INTERVAL {
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
        if self.planner.is_held() && !self.store_unreachable && now.since(since) >= RESIGN_DELAY {
            self.resign_planner(now);
        }
    }
}
