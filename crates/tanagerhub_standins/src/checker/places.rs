//! Data centres and servers that get no new work.

use std::collections::HashMap;
use std::time::Duration;

use tanagerhub_catalogue::VmId;
use tanagerhub_clock::Moment;

use crate::{Fact, Place, Started, Violation, Work};

#[derive(Debug, Default)]
pub(super) struct Places {
    data_centres: HashMap<VmId, String>,
    out: HashMap<Place, Moment>,
    leaving: HashMap<VmId, Moment>,
}

impl Places {
    pub(super) fn take(
        &mut self,
        at: Moment,
        fact: &Fact,
        limit: Duration,
        violations: &mut Vec<Violation>,
    ) {
        match fact {
            Fact::Placed { vm, data_centre } => {
                self.data_centres.insert(*vm, data_centre.clone());
            }
            Fact::TakenOut(place) => {
                self.out.entry(place.clone()).or_insert(at);
            }
            Fact::BroughtBack(place) => {
                self.out.remove(place);
            }
            Fact::Leaving { vm } => {
                self.leaving.entry(*vm).or_insert(at);
            }
            Fact::Present { vm } => {
                self.leaving.remove(vm);
            }
            Fact::Started(Started { work, vm, .. }) | Fact::Ran { work, vm, .. } => {
                violations.extend(self.in_data_centre(at, work, *vm, limit));
                violations.extend(self.on_leaving(at, work, *vm, limit));
            }
            _ => {}
        }
    }

    fn in_data_centre(
        &self,
        at: Moment,
        work: &Work,
        vm: VmId,
        limit: Duration,
    ) -> Option<Violation> {
        let data_centre = self.data_centres.get(&vm)?;
        let since = self.out.get(&Place::DataCentre(data_centre.clone()))?;
        let age = at.since(*since);
        (age > limit).then(|| Violation::WorkInDataCentre {
            work: work.clone(),
            data_centre: data_centre.clone(),
            age,
        })
    }

    fn on_leaving(&self, at: Moment, work: &Work, vm: VmId, limit: Duration) -> Option<Violation> {
        let marked = self.out.get(&Place::Vm(vm));
        let since = marked.or_else(|| self.leaving.get(&vm))?;
        let age = at.since(*since);
        (age > limit).then(|| Violation::WorkOnLeaving {
            work: work.clone(),
            vm,
            age,
        })
    }
}
