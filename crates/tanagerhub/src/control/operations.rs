//! Handles the calls of operators.

use std::collections::HashMap;

use async_channel::Sender;
use tanagerhub_catalogue::{Catalogue, CatalogueVersion, NodeId};
use tanagerhub_clock::Moment;
use tanagerhub_membership::{ApplyOutcome, MembershipEvent, OperationId};
use tanagerhub_wire::operators::{
    Applied, Apply, CatalogueView, Cleared, Crash, CrashList, MarkCall, MarkTarget, OperatorCall,
    OperatorError, OperatorResponse, Readiness,
};

use crate::control::Control;
use crate::control_event::OperatorResult;

/// Catalogue changes of operators that have not completed yet.
#[derive(Debug, Default)]
pub(super) struct Operations {
    next_id: u64,
    pending: HashMap<OperationId, PendingChange>,
}

#[derive(Debug)]
struct PendingChange {
    expected: CatalogueVersion,
    respond_to: Sender<OperatorResult>,
}

impl Control {
    /// Handles an operator's call; responds immediately, or once the requested change has
    /// completed.
    pub(super) fn handle_call(
        &mut self,
        now: Moment,
        call: OperatorCall,
        respond_to: &Sender<OperatorResult>,
    ) {
        let response = match call {
            OperatorCall::Ready => Ok(OperatorResponse::Ready(self.readiness(now))),
            OperatorCall::State => Ok(OperatorResponse::State(self.state(now))),
            OperatorCall::Catalogue => Ok(self.catalogue_view(now)),
            OperatorCall::Status => Ok(OperatorResponse::Status(Box::new(self.status_view(now)))),
            OperatorCall::Explain(subject) => self.explain(now, &subject),
            OperatorCall::Crashes => Ok(OperatorResponse::Crashes(self.crash_list())),
            OperatorCall::ClearCrashes => Ok(self.clear_crashes()),
            OperatorCall::Apply(apply) => match self.prepare_apply(&apply) {
                Ok(change) => return self.submit_change(now, change, apply.dry_run, respond_to),
                Err(error) => Err(error),
            },
            OperatorCall::Mark(mark) => match self.prepare_mark(&mark) {
                Ok(change) => return self.submit_change(now, change, false, respond_to),
                Err(error) => Err(error),
            },
        };
        drop(respond_to.try_send(response));
    }

    /// Responds to the operator whose change has completed.
    pub(super) fn complete_change(&mut self, operation: OperationId, outcome: ApplyOutcome) {
        let Some(PendingChange {
            expected,
            respond_to,
        }) = self.view.operations.pending.remove(&operation)
        else {
            return;
        };
        let response = match outcome {
            ApplyOutcome::InForce { version, stopped } => {
                Ok(self.applied_response(version, true, &stopped))
            }
            ApplyOutcome::Committed { version, missing } => {
                Ok(self.applied_response(version, false, &missing))
            }
            ApplyOutcome::LostRace { winner } => Err(OperatorError::Conflict {
                expected,
                current: winner,
            }),
            ApplyOutcome::NotCommitted { reason } => Err(OperatorError::Unavailable { reason }),
            ApplyOutcome::Unknown { version } => {
                let reason = format!("the answer to the write of version {version} was lost");
                Err(OperatorError::Unknown { reason })
            }
        };
        drop(respond_to.try_send(response));
    }

    fn applied_response(
        &self,
        version: CatalogueVersion,
        in_force: bool,
        missing: &[NodeId],
    ) -> OperatorResponse {
        let missing = missing.iter().map(|node| self.node_name(*node)).collect();
        OperatorResponse::Applied(Applied {
            version,
            committed: true,
            in_force,
            missing,
        })
    }

    fn prepare_apply(&self, apply: &Apply) -> Result<Change, OperatorError> {
        let mut catalogue =
            Catalogue::parse(&apply.document).map_err(|error| OperatorError::Mistakes {
                mistakes: error.mistakes,
            })?;
        catalogue.marks = self.view.catalogue.marks.clone();
        self.check_expected_version(apply.expected)?;
        Ok(Change {
            catalogue,
            expected: self.view.catalogue.version,
        })
    }

    fn prepare_mark(&self, call: &MarkCall) -> Result<Change, OperatorError> {
        self.check_expected_version(call.expected)?;
        let mut catalogue = (*self.view.catalogue).clone();
        match call.target {
            MarkTarget::Vm => {
                let known = self.view.vms.iter().any(|vm| vm.name == call.name);
                let marked = catalogue.marks.vms_out.contains(&call.name);
                require_known(known || marked, "VM", &call.name)?;
                catalogue.marks.mark_vm(&call.name, call.mark);
            }
            MarkTarget::DataCentre => {
                let is_named =
                    |data_centre: &tanagerhub_catalogue::DataCentre| data_centre.name == call.name;
                let known = catalogue.data_centres.iter().any(is_named);
                require_known(known, "data centre", &call.name)?;
                catalogue.marks.mark_data_centre(&call.name, call.mark);
            }
        }
        Ok(Change {
            catalogue,
            expected: self.view.catalogue.version,
        })
    }

    fn check_expected_version(
        &self,
        expected: Option<CatalogueVersion>,
    ) -> Result<(), OperatorError> {
        let current = self.view.catalogue.version;
        match expected {
            Some(expected) if expected != current => {
                Err(OperatorError::Conflict { expected, current })
            }
            _ => Ok(()),
        }
    }

    fn submit_change(
        &mut self,
        now: Moment,
        change: Change,
        dry_run: bool,
        respond_to: &Sender<OperatorResult>,
    ) {
        let Change {
            mut catalogue,
            expected,
        } = change;
        catalogue.version = expected;
        if dry_run || catalogue == *self.view.catalogue {
            let applied = self.unchanged(now, catalogue == *self.view.catalogue);
            drop(respond_to.try_send(Ok(OperatorResponse::Applied(applied))));
            return;
        }
        let operations = &mut self.view.operations;
        operations.next_id += 1;
        let operation = OperationId(operations.next_id);
        operations.pending.insert(
            operation,
            PendingChange {
                expected,
                respond_to: respond_to.clone(),
            },
        );
        log::info!(version = expected.next().0; "committing an operator's change of the catalogue");
        self.apply_membership_event(
            now,
            MembershipEvent::Apply {
                operation,
                catalogue,
                expected,
            },
        );
    }

    /// Returns the result of a call that commits nothing; `is_same` means that there was nothing to
    /// change.
    fn unchanged(&self, now: Moment, is_same: bool) -> Applied {
        let current = self.view.catalogue.version;
        if !is_same {
            return Applied {
                version: current.next(),
                committed: false,
                in_force: false,
                missing: Vec::new(),
            };
        }
        let lagging = self.membership.lagging_nodes(now);
        Applied {
            version: current,
            committed: false,
            in_force: lagging.is_empty() && self.membership.freshness(now).is_fresh(),
            missing: lagging.iter().map(|node| self.node_name(*node)).collect(),
        }
    }

    fn readiness(&self, now: Moment) -> Readiness {
        let freshness = self.membership.freshness(now);
        let reason = if self.view.draining {
            "the node shuts down".to_owned()
        } else if !freshness.is_fresh() {
            format!("the node's view is not fresh: {freshness:?}")
        } else if self.view.vms.is_empty() {
            "the node has no list of VMs yet".to_owned()
        } else {
            String::new()
        };
        Readiness {
            ready: reason.is_empty(),
            reason,
        }
    }

    fn catalogue_view(&self, now: Moment) -> OperatorResponse {
        OperatorResponse::Catalogue(Box::new(CatalogueView {
            version: self.view.catalogue.version,
            fresh: self.membership.freshness(now).is_fresh(),
            catalogue: (*self.view.catalogue).clone(),
        }))
    }

    fn crash_list(&self) -> CrashList {
        let facts = self
            .traffic
            .with(|traffic, now| traffic.crash_table().facts(now, usize::MAX));
        let crash = |fact: &tanagerhub_traffic::CrashFact| {
            let expires = self
                .traffic
                .with(|traffic, now| traffic.crash_table().refused_for(now, fact.fingerprint));
            Crash {
                fingerprint: fact.fingerprint,
                organisation: String::new(),
                entry: String::new(),
                strikes: fact.strikes,
                refused: expires.is_some(),
                expires: expires.unwrap_or_default(),
            }
        };
        CrashList {
            crashes: facts.iter().map(crash).collect(),
        }
    }

    fn clear_crashes(&self) -> OperatorResponse {
        let cleared = self.traffic.with(|traffic, now| {
            let facts = traffic.crash_table().facts(now, usize::MAX);
            let clear = |fact: &&tanagerhub_traffic::CrashFact| {
                traffic.crash_table().clear(fact.fingerprint)
            };
            facts.iter().filter(clear).count()
        });
        OperatorResponse::Cleared(Cleared { cleared })
    }
}

/// A new catalogue, and the version that it replaces.
#[derive(Debug)]
struct Change {
    catalogue: Catalogue,
    expected: CatalogueVersion,
}

fn require_known(known: bool, kind: &str, name: &str) -> Result<(), OperatorError> {
    if known {
        return Ok(());
    }
    Err(OperatorError::NotFound {
        name: format!("{kind} \"{name}\""),
    })
}
