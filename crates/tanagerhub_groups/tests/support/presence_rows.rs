//! Presence rows of nodes, and what a node does by them.

use tanagerhub_clock::Moment;
use tanagerhub_groups::{KnownBoots, Presence, PresenceAction};
use tanagerhub_table::{FeedPage, RowKey, RowVersion, StoreTime, VersionedRow};

pub fn page(rows: &[VersionedRow]) -> FeedPage {
    FeedPage {
        rows: rows.to_vec(),
        version: RowVersion(0),
        at: StoreTime(0),
        era: None,
    }
}

/// Returns the row that a node writes at its start.
pub fn row_of(node: &str, boot: u64, planning: bool, version: u64) -> VersionedRow {
    let mut presence = Presence::new(node, boot, 0);
    presence.set_planning(planning);
    let actions = presence.tick(Moment::from_millis(1_000), false);
    let Some(PresenceAction::Write(value)) = actions.into_iter().next() else {
        panic!("a node writes its row at once");
    };
    VersionedRow {
        key: RowKey::in_table("nodes", node),
        version: RowVersion(version),
        value: Some(value),
    }
}

/// Returns the boot ids with which a node tries to become the planner.
pub fn planning_boots(presence: &mut Presence, now: Moment) -> Option<KnownBoots> {
    planning_boots_if(presence, now, true)
}

pub fn planning_boots_if(
    presence: &mut Presence,
    now: Moment,
    current: bool,
) -> Option<KnownBoots> {
    let mut actions = presence.tick(now, current).into_iter();
    actions.find_map(|action| match action {
        PresenceAction::BecomePlanner { boots, .. } => Some(boots),
        PresenceAction::Write(_) => None,
    })
}
