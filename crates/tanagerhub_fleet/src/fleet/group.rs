//! The state that this node keeps of one group.

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

/// The hash seed of service ids, which separates them from other hashes of VM ids.
const SERVICE_SEED: u64 = 0x7365_7276_6963_6573;
/// How long a group is avoided after its first failed request at this node.
const SUSPICION_MIN: Duration = Duration::from_secs(1);
/// The upper limit on the time that a group is avoided.
const SUSPICION_MAX: Duration = Duration::from_secs(30);

/// The version of a group's row, and the transaction that wrote it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct RowStamp {
    pub(super) version: RowVersion,
    pub(super) transaction: TransactionId,
}

/// A group's row, with the state of its members and attestations.
#[derive(Debug)]
pub(super) struct Group {
    pub(super) id: GroupId,
    pub(super) row: GroupRow,
    /// `None` for a plain service, which has no row.
    pub(super) stamp: Option<RowStamp>,
    pub(super) members: Vec<Member>,
    /// The members' addresses, as the platform last listed them.
    pub(super) addresses: Vec<Option<SocketAddr>>,
    /// Why marks or the platform's list exclude the group from new requests, as of their last
    /// change.
    pub(super) exclusion: Option<NotServing>,
    /// When this node first received the present version of the row.
    pub(super) row_updated_at: Moment,
    /// When this node first received the present division of cold slots.
    pub(super) slots_divided_at: Moment,
    /// When this node first received a row of the present epoch.
    pub(super) epoch_seen_at: Moment,
    /// When this node first received the row marked as draining.
    pub(super) draining_since: Option<Moment>,
    /// The moment of the latest attestation: when its oldest member report was requested, or when
    /// the token arrived.
    pub(super) attested_at: Option<Moment>,
    /// The moment of the latest attestation that was sent to, or received from, peers.
    pub(super) published_at: Option<Moment>,
    pub(super) health: Health,
    /// The moment of the report or request that gave the present health.
    pub(super) health_at: Moment,
    /// Attestations of moments up to this one don't count.
    pub(super) invalid_until: Option<Moment>,
    pub(super) suspicion: Suspicion,
    /// This node's rank among the watchers; `None` when it does not watch the group.
    pub(super) watch_rank: Option<usize>,
    /// Whether the group was complete at the last tick.
    pub(super) complete: bool,
    /// The number of responses of a plain service since it was listed, restarted or turned cold.
    pub(super) responses: u32,
}

/// The time until which this node sends a group no requests because of failed ones.
#[derive(Debug, Default, Clone, Copy)]
pub(super) struct Suspicion {
    pub(super) until: Moment,
    count: u32,
}

/// A member's state according to the probes of this node.
#[derive(Debug)]
pub(super) struct Member {
    pub(super) vm: VmId,
    pub(super) report: Option<MemberReport>,
    /// When the last probe that found the member in its group, epoch and rank was sent.
    pub(super) present_at: Option<Moment>,
    /// When the last probe that returned any report was sent.
    pub(super) reported_at: Option<Moment>,
    /// The boot id that reports of the member must carry; another one means that its engine
    /// restarted.
    pub(super) boot: Option<BootId>,
    /// Since when probes fail, and the last failure.
    pub(super) failing: Option<(Moment, ProbeFailure)>,
    /// When the pending probe was sent.
    pub(super) probe_sent_at: Option<Moment>,
    /// When the last probe ended; `None` also makes the next probe due at once.
    pub(super) probe_ended_at: Option<Moment>,
    /// When the last order was sent; `None` when it expired unsent.
    pub(super) ordered_at: Option<Moment>,
    /// Whether the engine must accept an order before it counts as present.
    pub(super) must_join: bool,
    /// Since when the member must be ordered to join; `None` when it needs no order.
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

    /// Creates the group of a plain service on one VM.
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

    /// Returns whether the group counts as a replica of its entry.
    pub(super) const fn is_held(&self) -> bool {
        !self.row.draining && !self.row.standby
    }

    /// Recomputes this node's rank among the watchers.
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

    /// Applies a newer version of the row; a new epoch resets all other state.
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

    /// Returns the moment of the latest attestation, unless it was invalidated.
    pub(super) fn valid_attestation(&self) -> Option<Moment> {
        self.attested_at.filter(|at| {
            self.invalid_until
                .is_none_or(|invalid_until| *at > invalid_until)
        })
    }

    /// Returns whether there is a valid attestation younger than `limit`.
    pub(super) fn is_complete(&self, now: Moment, limit: Duration) -> bool {
        self.valid_attestation()
            .is_some_and(|at| now.since(at) < limit)
    }

    /// Records that every member was present at `at` or later.
    pub(super) fn record_attestation(&mut self, at: Moment) {
        self.attested_at = self.attested_at.max(Some(at));
    }

    /// Updates the health with one observed at `at`, unless it is older than the present one.
    /// Returns whether the health changed.
    pub(super) fn set_health(&mut self, at: Moment, health: Health) -> bool {
        if at < self.health_at || self.health == Health::Leaving {
            return false;
        }
        self.health_at = at;
        std::mem::replace(&mut self.health, health) != health
    }

    /// Returns since when an incomplete group counts as broken: its last attestation, or else the
    /// moment at which its epoch was first received.
    pub(super) fn broken_since(&self) -> Moment {
        self.attested_at.unwrap_or(self.epoch_seen_at)
    }

    /// Returns the number of requests that a node may have in flight while the group is cold.
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
    /// Records a failed request; each further one doubles the time.
    pub(super) fn raise(&mut self, now: Moment) {
        let factor = 1_u32 << self.count.min(8);
        let pause = SUSPICION_MIN.saturating_mul(factor).min(SUSPICION_MAX);
        self.count += 1;
        self.until = now + pause;
    }

    /// Resets the state after a successful response.
    pub(super) fn clear(&mut self) {
        *self = Self::default();
    }
}

/// Returns the group id of a plain service.
pub(super) fn service_id(vm: VmId) -> GroupId {
    GroupId(xxh3_64_with_seed(&vm.0.to_le_bytes(), SERVICE_SEED))
}
