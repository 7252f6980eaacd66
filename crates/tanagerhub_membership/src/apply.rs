//! The progress of an operator's change.

use std::collections::BTreeMap;
use std::time::Duration;

use tanagerhub_catalogue::{CatalogueVersion, NodeId};
use tanagerhub_clock::Moment;
use tanagerhub_table::{Attempt, AttemptState};

use crate::{Acceptance, AcceptanceStage, ApplyOutcome, Document, OperationId};

/// Time without progress after which a quorum is dropped.
const ROUND_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Time after which a region that is still collecting may be working with a different list of
/// slots than this node.
const STALL_TIMEOUT: Duration = Duration::from_secs(1);

/// The stage of a change.
#[derive(Debug)]
pub(crate) enum ApplyStage {
    /// The catalogue head is being read.
    Reading,
    /// The document is being stored.
    Storing,
    /// The transaction has been sent; its outcome is not known.
    Committing,
    /// The change is committed and is being propagated.
    Propagating(Propagation),
}

/// One operator's change.
#[derive(Debug)]
pub(crate) struct Apply {
    pub(crate) operation: OperationId,
    pub(crate) started_at: Moment,
    pub(crate) token: u64,
    pub(crate) document: Document,
    pub(crate) attempt: Option<Attempt>,
    /// Whether an earlier copy of the transaction may still reach the table.
    pub(crate) was_in_doubt: bool,
    pub(crate) stage: ApplyStage,
    pub(crate) deadline: Moment,
    pub(crate) retry_at: Moment,
}

impl Apply {
    /// Returns the outcome to report at the deadline.
    pub(crate) fn timeout_outcome(&self) -> ApplyOutcome {
        let version = self.document.head().version;
        match &self.stage {
            ApplyStage::Propagating(propagation) => ApplyOutcome::Committed {
                version,
                missing: propagation.missing(),
            },
            ApplyStage::Committing if self.is_in_doubt() => ApplyOutcome::Unknown { version },
            ApplyStage::Reading | ApplyStage::Storing | ApplyStage::Committing => {
                ApplyOutcome::NotCommitted {
                    reason: "the platform's store did not answer in time".to_owned(),
                }
            }
        }
    }

    /// Returns whether the transaction may have been applied or may still be applied.
    pub(crate) fn is_in_doubt(&self) -> bool {
        let state = self.attempt.as_ref().map(Attempt::state);
        self.was_in_doubt || state.is_some_and(|state| state != AttemptState::NotApplied)
    }
}

/// The propagation of a committed version to every region.
#[derive(Debug)]
pub(crate) struct Propagation {
    version: CatalogueVersion,
    pub(crate) regions: BTreeMap<String, RegionPropagation>,
    /// When the commit was confirmed.
    pub(crate) started_at: Moment,
    /// When the last region accepted the version.
    accepted: Option<Moment>,
}

/// The propagation of a committed version within one region.
#[derive(Debug)]
pub(crate) struct RegionPropagation {
    pub(crate) acceptance: Acceptance,
    round_started_at: Moment,
}

impl Propagation {
    pub(crate) const fn new(version: CatalogueVersion, started_at: Moment) -> Self {
        Self {
            version,
            started_at,
            regions: BTreeMap::new(),
            accepted: None,
        }
    }

    /// Sets the slots of a region. Restarts acceptance there if they changed before the region
    /// accepted the version.
    pub(crate) fn update_slots(&mut self, region: &str, nodes: &[NodeId], now: Moment) {
        if let Some(known) = self.regions.get(region) {
            let acceptance = &known.acceptance;
            let accepted = acceptance.stage() == AcceptanceStage::Accepted;
            if accepted || acceptance.slots().iter().eq(nodes) {
                return;
            }
        }
        let start = RegionPropagation {
            acceptance: Acceptance::new(nodes.iter().copied(), self.version),
            round_started_at: now,
        };
        self.regions.insert(region.to_owned(), start);
        self.accepted = None;
    }

    /// Returns a node of a stalled region; it may have a different list of slots.
    pub(crate) fn stalled(&self, now: Moment) -> Option<NodeId> {
        let stalled = |region: &&RegionPropagation| {
            let waits = now.since(region.round_started_at) >= STALL_TIMEOUT;
            waits && region.acceptance.stage() == AcceptanceStage::Collecting
        };
        let region = self.regions.values().find(stalled)?;
        let missing: Vec<_> = region.acceptance.missing().collect();
        // A different node each time, so that an unreachable one does not block the change.
        let turn = usize::try_from(now.as_millis()).unwrap_or(0);
        missing.get(turn % missing.len().max(1)).copied()
    }

    /// Records an acknowledgement.
    pub(crate) fn record_ack(
        &mut self,
        node: NodeId,
        identity: crate::Identity,
        round: u32,
        now: Moment,
    ) {
        for region in self.regions.values_mut() {
            let before = region.acceptance.round();
            region.acceptance.record_ack(node, identity, round);
            if region.acceptance.round() != before {
                region.round_started_at = now;
            }
        }
        self.update_accepted(now);
    }

    /// Drops quorums whose members do not confirm in time.
    pub(crate) fn tick(&mut self, now: Moment) {
        for region in self.regions.values_mut() {
            let confirming = region.acceptance.stage() == AcceptanceStage::Confirming;
            if confirming && now.since(region.round_started_at) >= ROUND_TIMEOUT {
                region.acceptance.restart();
                region.round_started_at = now;
            }
        }
        self.update_accepted(now);
    }

    fn update_accepted(&mut self, now: Moment) {
        let accepted =
            |region: &RegionPropagation| region.acceptance.stage() == AcceptanceStage::Accepted;
        if self.accepted.is_none() && self.regions.values().all(accepted) {
            self.accepted = Some(now);
        }
    }

    /// Returns the slots that have not acknowledged the version.
    pub(crate) fn missing(&self) -> Vec<NodeId> {
        let regions = self.regions.values();
        regions.flat_map(|it| it.acceptance.missing()).collect()
    }

    /// Returns whether no node can work under an older version any more.
    ///
    /// Nodes that have not acknowledged stop taking work once every confirmation of the older
    /// version, all of them from before the acceptance, is older than `limit`.
    pub(crate) fn is_in_force(&self, now: Moment, limit: Duration) -> bool {
        self.accepted
            .is_some_and(|at| now.since(at) >= limit || self.missing().is_empty())
    }
}
