//! One group, as this node knows it.

use std::net::SocketAddr;
use std::time::Duration;

use tanagerhub_catalogue::{BootId, EntryId, Epoch, GroupId, NodeId, VmId};
use tanagerhub_clock::Moment;
use tanagerhub_table::{RowVersion, TransactionId};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::rendezvous::watcher_rank;
use crate::rows::GroupRow;
use crate::{FleetSettings, Health, MemberReport, NotServing, Peer, ProbeFailure};

use super::vms::VmInfo;

/// Sets the ids of services apart from other hashes of VM ids.
const SERVICE_SEED: u64 = 0x7365_7276_6963_6573;
/// The first time that a group is avoided after this node's traffic saw it fail.
const SUSPICION_MIN: Duration = Duration::from_secs(1);
/// The longest time that a group is avoided.
const SUSPICION_MAX: Duration = Duration::from_secs(30);

/// Where a group's row was read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct RowStamp {
    pub(super) version: RowVersion,
    pub(super) transaction: TransactionId,
}

/// A group with what is known of its members.
#[derive(Debug)]
pub(super) struct Group {
    pub(super) id: GroupId,
    pub(super) row: GroupRow,
    /// `None` for a plain service, which has no row.
    pub(super) stamp: Option<RowStamp>,
    pub(super) members: Vec<Member>,
    /// The members' addresses, as the platform last listed them.
    pub(super) addresses: Vec<Option<SocketAddr>>,
    /// Why marks or the platform's list stop the group, as of their last change.
    pub(super) exclusion: Option<NotServing>,
    /// When this node first knew of the row's present version.
    pub(super) row_updated_at: Moment,
    /// When this node first knew of the present division of cold slots.
    pub(super) slots_divided_at: Moment,
    /// When this node first knew of the present epoch.
    pub(super) epoch_seen_at: Moment,
    /// When this node first saw the row drain.
    pub(super) draining_since: Option<Moment>,
    /// The oldest report in the youngest attestation.
    pub(super) attested_at: Option<Moment>,
    /// The youngest attestation that was sent to, or heard from, peers.
    pub(super) published_at: Option<Moment>,
    pub(super) health: Health,
    /// When the present health was seen.
    pub(super) health_at: Moment,
    /// Attestations of reports up to this moment don't count.
    pub(super) invalid_until: Option<Moment>,
    pub(super) suspicion: Suspicion,
    /// This node's place among the watchers.
    pub(super) watch_rank: Option<usize>,
    /// Whether the last look found a whole group.
    pub(super) complete: bool,
    /// Answers of a plain service since it came back.
    pub(super) responses: u32,
}

/// How long this node's traffic avoids a group.
#[derive(Debug, Default, Clone, Copy)]
pub(super) struct Suspicion {
    pub(super) until: Moment,
    count: u32,
}

/// A member, as this node's probes see it.
#[derive(Debug)]
pub(super) struct Member {
    pub(super) vm: VmId,
    pub(super) report: Option<MemberReport>,
    /// When the last probe that found the member in its place was sent.
    pub(super) present_at: Option<Moment>,
    /// When the last probe that brought any report was sent.
    pub(super) reported_at: Option<Moment>,
    /// The engine start that counts.
    pub(super) boot: Option<BootId>,
    /// Since when, and how, probes fail.
    pub(super) failing: Option<(Moment, ProbeFailure)>,
    /// When the present probe was sent.
    pub(super) probe_sent_at: Option<Moment>,
    /// When the last probe ended.
    pub(super) probe_ended_at: Option<Moment>,
    /// When the last order was sent.
    pub(super) ordered_at: Option<Moment>,
    /// Whether the engine must accept an order before it counts.
    pub(super) must_join: bool,
    /// Since when the member needs an order.
    pub(super) needs_order_since: Option<Moment>,
}

impl Member {
    pub(super) const fn new(vm: VmId) -> Self {
        Self {
            vm,
            report: None,
            present_at: None,
            reported_at: None,
            boot: None,
            failing: None,
            probe_sent_at: None,
            probe_ended_at: None,
            ordered_at: None,
            must_join: false,
            needs_order_since: None,
        }
    }
}

impl Group {
    pub(super) fn new(
        now: Moment,
        id: GroupId,
        row: GroupRow,
        stamp: Option<RowStamp>,
        settings: &FleetSettings,
        peers: &[Peer],
    ) -> Self {
        let members = row.members.iter().map(|vm| Member::new(*vm)).collect();
        let draining_since = row.draining.then_some(now);
        let mut group = Self {
            id,
            row,
            stamp,
            members,
            addresses: Vec::new(),
            exclusion: Some(NotServing::Leaving),
            row_updated_at: now,
            slots_divided_at: now,
            epoch_seen_at: now,
            draining_since,
            attested_at: None,
            published_at: None,
            health: Health::Cold,
            health_at: Moment::ZERO,
            invalid_until: None,
            suspicion: Suspicion::default(),
            watch_rank: None,
            complete: false,
            responses: 0,
        };
        group.update_watch_rank(settings, peers);
        group
    }

    /// A plain service on one VM.
    pub(super) fn service(
        now: Moment,
        vm: VmId,
        info: &VmInfo,
        entry: EntryId,
        settings: &FleetSettings,
        peers: &[Peer],
    ) -> Self {
        let row = GroupRow {
            entry,
            epoch: Epoch::default(),
            data_centre: info.data_centre,
            domain: info.domain,
            members: vec![vm],
            standby: false,
            draining: false,
            slots: Vec::new(),
            moves: 0,
        };
        Self::new(now, service_id(vm), row, None, settings, peers)
    }

    pub(super) const fn has_row(&self) -> bool {
        self.stamp.is_some()
    }

    /// Whether the group counts among its entry's replicas.
    pub(super) const fn is_held(&self) -> bool {
        !self.row.draining && !self.row.standby
    }

    /// Recomputes this node's place among the watchers.
    pub(super) fn update_watch_rank(&mut self, settings: &FleetSettings, peers: &[Peer]) {
        let data_centre = self.row.data_centre;
        self.watch_rank = watcher_rank(
            self.id.0,
            data_centre,
            peers,
            settings.node,
            settings.watchers,
        );
    }

    /// Takes a newer version of the row.
    pub(super) fn update_row(
        &mut self,
        now: Moment,
        row: GroupRow,
        stamp: RowStamp,
        settings: &FleetSettings,
        peers: &[Peer],
    ) {
        if row.epoch != self.row.epoch {
            *self = Self::new(now, self.id, row, Some(stamp), settings, peers);
            return;
        }
        if row.draining {
            self.draining_since = self.draining_since.or(Some(now));
        }
        if row.moves != self.row.moves {
            self.slots_divided_at = now;
        }
        self.row = row;
        self.stamp = Some(stamp);
        self.row_updated_at = now;
    }

    /// The moment of the youngest attestation that counts.
    pub(super) fn valid_attestation(&self) -> Option<Moment> {
        self.attested_at.filter(|at| {
            self.invalid_until
                .is_none_or(|invalid_until| *at > invalid_until)
        })
    }

    /// Whether an attestation younger than `limit` counts.
    pub(super) fn is_complete(&self, now: Moment, limit: Duration) -> bool {
        self.valid_attestation()
            .is_some_and(|at| now.since(at) < limit)
    }

    /// Takes in that every member was seen at `at` or later.
    pub(super) fn record_attestation(&mut self, at: Moment) {
        self.attested_at = self.attested_at.max(Some(at));
    }

    /// Takes in the health seen at `at`; says whether it changed.
    pub(super) fn set_health(&mut self, at: Moment, health: Health) -> bool {
        if at < self.health_at || self.health == Health::Leaving {
            return false;
        }
        self.health_at = at;
        std::mem::replace(&mut self.health, health) != health
    }

    /// Since when the group is not whole, once that is certain.
    pub(super) fn broken_since(&self) -> Moment {
        self.attested_at.unwrap_or(self.epoch_seen_at)
    }

    /// The requests that a node may have in flight on the cold group.
    pub(super) fn slots_of(&self, node: NodeId, limit: u32) -> u32 {
        let mut left = limit;
        for slots in &self.row.slots {
            let count = slots.count.min(left);
            if slots.node == node {
                return count;
            }
            left -= count;
        }
        0
    }
}

impl Suspicion {
    /// Notes a failure seen by traffic.
    pub(super) fn raise(&mut self, now: Moment) {
        let factor = 1_u32 << self.count.min(8);
        let pause = SUSPICION_MIN.saturating_mul(factor).min(SUSPICION_MAX);
        self.count += 1;
        self.until = now + pause;
    }

    /// Notes work that went well.
    pub(super) fn clear(&mut self) {
        *self = Self::default();
    }
}

/// The group id of a plain service.
pub(super) fn service_id(vm: VmId) -> GroupId {
    GroupId(xxh3_64_with_seed(&vm.0.to_le_bytes(), SERVICE_SEED))
}
