//! Observations of the traffic decisions, and facts that nodes share.

use std::time::Duration;

use tanagerhub_catalogue::NodeId;
use tanagerhub_clock::Moment;
use tanagerhub_fleet::FleetEvent;
use tanagerhub_membership::{AgedFact, Fact, MembershipEvent};
use tanagerhub_traffic::{CrashFact, GroupObservation};

use crate::control::Control;

/// The age from which a peer's cold signal is ignored.
const MAX_COLD_SIGNAL_AGE: Duration = Duration::from_secs(2);
/// The maximum number of crash facts shared with peers per tick.
const MAX_SHARED_CRASHES: usize = 64;

impl Control {
    /// Applies the group observations of the traffic decisions; sends cold signals to the peers.
    pub(super) fn observe(&mut self, now: Moment, at: Moment, observations: Vec<GroupObservation>) {
        for observation in observations {
            let event = match observation {
                GroupObservation::Cold { group, epoch } => FleetEvent::TurnedCold { group, epoch },
                GroupObservation::Failed { group, epoch } => {
                    FleetEvent::BackendFailed { group, epoch }
                }
                GroupObservation::Responded { group, epoch } => {
                    FleetEvent::TokenStreamed { group, epoch, at }
                }
            };
            if let GroupObservation::Cold { group, epoch } = observation {
                let cold = AgedFact {
                    fact: Fact::Cold { group, epoch },
                    age: Duration::ZERO,
                };
                self.apply_membership_event(now, MembershipEvent::LocalFacts(vec![cold]));
            }
            self.apply_fleet_event(now, event);
        }
    }

    pub(super) fn apply_peer_facts(&mut self, now: Moment, facts: Vec<AgedFact>) {
        for AgedFact { fact, age } in facts {
            match fact {
                Fact::Attested {
                    group,
                    epoch,
                    health,
                } => {
                    let from = NodeId::default();
                    let event = FleetEvent::Attested {
                        from,
                        group,
                        epoch,
                        age,
                        health,
                    };
                    self.apply_fleet_event(now, event);
                }
                // An older signal is superseded by the health in the attestations.
                Fact::Cold { group, epoch } if age < MAX_COLD_SIGNAL_AGE => {
                    self.apply_fleet_event(now, FleetEvent::TurnedCold { group, epoch });
                }
                Fact::Crashed { fingerprint, count } => {
                    let crash = CrashFact {
                        fingerprint,
                        strikes: u32::from(count),
                        age,
                    };
                    self.traffic
                        .with(|traffic, now| traffic.crash_table().apply_fact(now, crash));
                }
                Fact::Cold { .. } | Fact::Load { .. } => {}
            }
        }
    }

    pub(super) fn share_crashes(&mut self, now: Moment) {
        let crashes = self
            .traffic
            .with(|traffic, now| traffic.crash_table().facts(now, MAX_SHARED_CRASHES));
        if crashes.is_empty() {
            return;
        }
        let fact = |crash: CrashFact| AgedFact {
            fact: Fact::Crashed {
                fingerprint: crash.fingerprint,
                count: u8::try_from(crash.strikes).unwrap_or(u8::MAX),
            },
            age: crash.age,
        };
        let facts = crashes.into_iter().map(fact).collect();
        self.apply_membership_event(now, MembershipEvent::LocalFacts(facts));
    }
}
