//! Reads of the table, and the registration of this node's slot.

use std::time::Duration;

use rand::RngExt;
use tanagerhub_catalogue::NodeId;
use tanagerhub_clock::Moment;
use tanagerhub_table::{CommitOutcome, Row, Transaction, TransactionId};

use super::Membership;
use crate::store_reader::ReadPurpose;
use crate::{
    CatalogueHead, MembershipAction, NodeSlot, ReadId, SLOT_PREFIX, SlotRow, Standing, StoreState,
    TableRead,
};

/// Time after which a registration without a response is retried.
const REGISTER_TIMEOUT: Duration = Duration::from_secs(3);

impl Membership {
    pub(super) fn send_due_reads(&mut self, now: Moment) {
        for read in self.store.overdue(now) {
            self.on_read_failure(now, read);
        }
        if now >= self.store.head_due && !self.store.is_open(ReadPurpose::Head) {
            let own = NodeSlot::key(self.settings.node);
            let keys = vec![CatalogueHead::key(), own];
            self.read(ReadPurpose::Head, TableRead::Keys(keys), now);
            self.store.head_due = now + self.head_read_delay();
        }
        let may_read_slots = self.store.state == StoreState::Up || self.slots.len() == 0;
        if may_read_slots && now >= self.store.slots_due && !self.store.is_open(ReadPurpose::Slots)
        {
            self.read_slots(now);
        }
    }

    /// Reads all node slots now.
    pub(super) fn read_slots(&mut self, now: Moment) {
        let prefix = SLOT_PREFIX.to_owned();
        self.read(ReadPurpose::Slots, TableRead::Prefix(prefix), now);
        self.store.slots_due = now + self.slots_read_delay();
    }

    pub(super) fn read(&mut self, purpose: ReadPurpose, rows: TableRead, now: Moment) {
        let read = self.store.start(purpose, now);
        self.counters.reads += 1;
        self.push_action(MembershipAction::Read { read, rows });
    }

    /// Returns the delay until the next read of the head; the nodes of a region share a budget.
    fn head_read_delay(&mut self) -> Duration {
        let slots = u32::try_from(self.slot_count()).unwrap_or(u32::MAX);
        let shared = Duration::from_secs(1) * slots / self.settings.region_reads.max(1);
        let period = shared.max(self.settings.store_period);
        let limit = self.settings.store_backoff;
        self.store.delay(period, limit, &mut self.rng)
    }

    /// Returns the delay until the next read of all slots; across all nodes, about one such read
    /// starts per second.
    fn slots_read_delay(&mut self) -> Duration {
        let slots = u32::try_from(self.slots.len()).unwrap_or(u32::MAX);
        let shared = Duration::from_secs(1) * slots;
        let period = shared.max(self.settings.slots_period);
        let limit = self.settings.store_backoff;
        self.store.delay(period, limit, &mut self.rng)
    }

    pub(super) fn on_read_failure(&mut self, now: Moment, read: ReadId) {
        let Some(open) = self.store.failed(read) else {
            return;
        };
        self.counters.read_failures += 1;
        self.store.head_due = now + self.head_read_delay();
        match open.purpose {
            ReadPurpose::Apply(operation) => self.on_apply_read_failure(operation, now),
            ReadPurpose::Slots => self.store.slots_due = now + self.slots_read_delay(),
            ReadPurpose::Head => {}
        }
    }

    pub(super) fn on_rows(&mut self, now: Moment, read: ReadId, rows: &[Row]) {
        let was_down = self.store.state == StoreState::Down;
        let Some(open) = self.store.succeeded(read) else {
            return;
        };
        if was_down {
            let wait = self.random_part(self.settings.store_backoff);
            self.store.slots_due = now + wait;
        }
        match open.purpose {
            ReadPurpose::Head => self.on_head_rows(now, open.sent, rows),
            ReadPurpose::Slots => {
                self.store.slots_read_at = self.store.slots_read_at.max(Some(open.sent));
                self.on_slot_rows(rows);
            }
            ReadPurpose::Apply(operation) => self.on_apply_rows(now, operation, rows),
        }
    }

    /// Returns a random part of `duration`, so that the nodes' reads are spread over time.
    fn random_part(&mut self, duration: Duration) -> Duration {
        duration.mul_f64(self.rng.random_range(0.0..1.0))
    }

    fn on_head_rows(&mut self, now: Moment, sent: Moment, rows: &[Row]) {
        let Some(head) = self.find_head(rows) else {
            return;
        };
        self.confirmations.record_store(head.version, sent);
        self.update_newest(head, None, now);
        let own = NodeSlot::key(self.settings.node);
        let row = rows.iter().find(|row| row.key == own);
        self.check_own_row(now, row);
        if self.standing == Standing::Starting && self.is_registered(row) {
            self.adoption_target = Some(head.version.max(self.adoption_target.unwrap_or_default()));
            self.try_joining();
        }
        let since_resume = sent >= self.stale_since;
        if self.standing == Standing::Paused && since_resume && self.version() >= head.version {
            self.standing = Standing::Member;
        }
    }

    /// Returns the head among `rows`: version zero if there is none yet, `None` if it is malformed.
    pub(super) fn find_head(&mut self, rows: &[Row]) -> Option<CatalogueHead> {
        let key = CatalogueHead::key();
        let Some(row) = rows.iter().find(|row| row.key == key) else {
            return Some(CatalogueHead::default());
        };
        let head = CatalogueHead::decode(row);
        if head.is_err() {
            self.counters.malformed += 1;
        }
        head.ok()
    }

    fn is_registered(&self, row: Option<&Row>) -> bool {
        let slot = row.and_then(|row| NodeSlot::decode(row).ok());
        slot.is_some_and(|slot| slot.identity == self.identity)
    }

    /// Compares the slot's row with this process: registers it, or rejoins after a takeover.
    fn check_own_row(&mut self, now: Moment, row: Option<&Row>) {
        let slot = row.and_then(|row| NodeSlot::decode(row).ok());
        let known = slot.as_ref().map(|slot| slot.identity).unwrap_or_default();
        if known > self.identity {
            self.rejoin(known, now);
        }
        if slot.as_ref() == Some(&self.own_slot()) {
            return;
        }
        let waits = |(_, sent): (TransactionId, Moment)| now.since(sent) < REGISTER_TIMEOUT;
        if self.open_registration.is_some_and(waits) {
            return;
        }
        self.register(row, now);
    }

    fn own_slot(&self) -> NodeSlot {
        NodeSlot {
            address: self.settings.address,
            identity: self.identity,
            region: self.settings.region.clone(),
            data_centre: self.settings.data_centre,
        }
    }

    fn register(&mut self, row: Option<&Row>, now: Moment) {
        let id = self.new_transaction();
        let key = NodeSlot::key(self.settings.node);
        let base = match row {
            Some(row) => Transaction::new(id).require_version(key.clone(), row.version),
            None => Transaction::new(id).require_absent(key.clone()),
        };
        self.open_registration = Some((id, now));
        self.counters.commits += 1;
        let write = base.put(key, self.own_slot().encode());
        self.push_action(MembershipAction::Commit(write));
    }

    pub(super) fn on_commit(&mut self, now: Moment, id: TransactionId, outcome: &CommitOutcome) {
        if self.open_registration.is_some_and(|(known, _)| known == id) {
            self.open_registration = None;
            // The next read of the slot's row shows the result, whatever the outcome was.
            self.store.head_due = now;
            if let CommitOutcome::Committed { rows } = outcome {
                self.slots.merge(decode_slots(rows));
                self.slots_changed();
            }
            return;
        }
        self.on_apply_commit(now, id, outcome);
    }

    fn on_slot_rows(&mut self, rows: &[Row]) {
        let slots = decode_slots(rows);
        self.counters.malformed += u64::try_from(rows.len() - slots.len()).unwrap_or(0);
        self.slots.replace(slots);
        self.slots_changed();
    }

    /// Updates the state that depends on the list of slots.
    pub(super) fn slots_changed(&mut self) {
        let region = self.settings.region.clone();
        let listed = self.slots.nodes(&region).to_vec();
        self.confirmations.retain(|node| listed.contains(&node));
        self.peer_reports.retain(|node, _| listed.contains(node));
        self.leaving_reported_at
            .retain(|node, _| listed.contains(node));
        if self.standing != Standing::Starting {
            return;
        }
        let known = self.slots.identity(self.settings.node);
        if known > self.identity {
            self.identity = known.successor(self.settings.boot);
            self.slots
                .record_identity(self.settings.node, self.identity);
        }
        self.restart_adoption();
    }

    /// Removes the slot of a VM that has been removed permanently.
    pub(super) fn retire(&mut self, node: NodeId) {
        let Some(row) = self.slots.row(node) else {
            return;
        };
        let (key, version) = (NodeSlot::key(node), row.version);
        let id = self.new_transaction();
        let removal = Transaction::new(id)
            .require_version(key.clone(), version)
            .delete(key);
        self.counters.commits += 1;
        self.push_action(MembershipAction::Commit(removal));
        self.slots.remove(node);
        self.slots_changed();
    }
}

fn decode_slots(rows: &[Row]) -> Vec<SlotRow> {
    let decode = |row: &Row| {
        NodeSlot::decode(row).ok().map(|slot| SlotRow {
            slot,
            version: row.version,
        })
    };
    rows.iter().filter_map(decode).collect()
}
