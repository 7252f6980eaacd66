//! Checks that VMs and data centres that are marked out, and leaving VMs, get no new requests.

use std::collections::HashMap;
use std::time::Duration;

use tanagerhub_catalogue::VmId;
use tanagerhub_clock::Moment;

use crate::{Event, MarkTarget, RequestId, Started, Violation};

#[derive(Debug, Default)]
pub(super) struct Exclusions {
    data_centres: HashMap<VmId, String>,
    marked_out: HashMap<MarkTarget, Moment>,
    leaving: HashMap<VmId, Moment>,
}

impl Exclusions {
    pub(super) fn apply(
        &mut self,
        at: Moment,
        event: &Event,
        limit: Duration,
        violations: &mut Vec<Violation>,
    ) {
        match event {
            Event::Deployed { vm, data_centre } => {
                self.data_centres.insert(*vm, data_centre.clone());
            }
            Event::MarkedOut(target) => {
                self.marked_out.entry(target.clone()).or_insert(at);
            }
            Event::MarkedIn(target) => {
                self.marked_out.remove(target);
            }
            Event::Leaving { vm } => {
                self.leaving.entry(*vm).or_insert(at);
            }
            Event::Returned { vm } => {
                self.leaving.remove(vm);
            }
            Event::Started(Started { request_id, vm, .. }) | Event::Ran { request_id, vm, .. } => {
                violations.extend(self.check_data_centre(at, request_id, *vm, limit));
                violations.extend(self.check_vm(at, request_id, *vm, limit));
            }
            _ => {}
        }
    }

    fn check_data_centre(
        &self,
        at: Moment,
        request_id: &RequestId,
        vm: VmId,
        limit: Duration,
    ) -> Option<Violation> {
        let data_centre = self.data_centres.get(&vm)?;
        let since = self
            .marked_out
            .get(&MarkTarget::DataCentre(data_centre.clone()))?;
        let age = at.since(*since);
        (age > limit).then(|| Violation::RequestInDataCentre {
            request_id: request_id.clone(),
            data_centre: data_centre.clone(),
            age,
        })
    }

    /// Returns a violation if the VM was marked out or announced as leaving too long before.
    fn check_vm(
        &self,
        at: Moment,
        request_id: &RequestId,
        vm: VmId,
        limit: Duration,
    ) -> Option<Violation> {
        let marked_at = self.marked_out.get(&MarkTarget::Vm(vm));
        let since = marked_at.or_else(|| self.leaving.get(&vm))?;
        let age = at.since(*since);
        (age > limit).then(|| Violation::RequestOnLeavingServer {
            request_id: request_id.clone(),
            vm,
            age,
        })
    }
}
