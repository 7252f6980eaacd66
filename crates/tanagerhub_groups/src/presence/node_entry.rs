//! What is known of one node.

use tanagerhub_catalogue::NodeId;
use tanagerhub_clock::Moment;
use tanagerhub_table::{RowKey, StoreVersion};

use super::{Peer, PresenceRow, RelayEndpoint};

/// What is known of one node by its presence row.
#[derive(Debug)]
pub(super) struct NodeEntry {
    pub(super) key: RowKey,
    /// The newest row that could be decoded; `None` if there was none yet.
    pub(super) last_row: Option<PresenceRow>,
    /// Whether the newest row can't be decoded, as one of another build. The node counts as live,
    /// but it may be another process than the one of `last_row`.
    pub(super) unreadable: bool,
    pub(super) version: StoreVersion,
    pub(super) updated_at: Moment,
    /// When an outage ended in which the node could not write its row.
    pub(super) outage_end: Moment,
    /// The previous boot id, whose writes may still be applied late.
    pub(super) previous_boot: Option<u64>,
}

impl NodeEntry {
    pub(super) fn new(key: RowKey, version: StoreVersion, updated_at: Moment) -> Self {
        Self {
            key,
            last_row: None,
            unreadable: true,
            version,
            updated_at,
            outage_end: Moment::ZERO,
            previous_boot: None,
        }
    }

    /// Returns the newest row if it could be decoded.
    pub(super) fn row(&self) -> Option<&PresenceRow> {
        self.last_row.as_ref().filter(|_| !self.unreadable)
    }

    /// Returns the endpoint of the node if it is known.
    pub(super) fn relay(&self) -> Option<RelayEndpoint> {
        self.row()?.relay
    }

    pub(super) fn is_planning(&self) -> bool {
        self.row().is_some_and(|row| row.planning)
    }

    pub(super) fn is_stopping(&self) -> bool {
        self.row().is_some_and(|row| row.stopping)
    }

    /// Returns the node as a peer if it has an endpoint.
    pub(super) fn peer(&self, name: &str) -> Option<Peer> {
        let row = self.row()?;
        Some(Peer {
            node: NodeId::of(name),
            boot: row.boot,
            endpoint: row.relay?,
            stopping: row.stopping,
        })
    }

    /// Returns whether the process that wrote the newest row wrote this one later.
    pub(super) fn is_continued_by(&self, row: &PresenceRow) -> bool {
        let last = self.last_row.as_ref();
        last.is_none_or(|last| last.boot == row.boot && last.write_count < row.write_count)
    }

    /// Applies a newer row, unless the previous boot wrote it. `None` is a row that can't be
    /// decoded.
    pub(super) fn update(
        &mut self,
        row: Option<PresenceRow>,
        version: StoreVersion,
        updated_at: Moment,
    ) {
        self.version = version;
        if let Some(row) = row {
            if self.previous_boot == Some(row.boot) {
                return;
            }
            let last_boot = self.last_row.as_ref().map(|row| row.boot);
            if last_boot != Some(row.boot) {
                self.previous_boot = last_boot;
            }
            self.last_row = Some(row);
            self.unreadable = false;
        } else {
            self.unreadable = true;
        }
        self.updated_at = updated_at;
    }
}
