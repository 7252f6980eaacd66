//! Replica groups, formed and repaired from what VMs report to the store.
//!
//! [`Groups`] is a state machine without I/O. Every node feeds it with the reports of the VMs, and
//! reads from it which groups may be sent requests. On the node that holds the planner's row it
//! also decides which groups to form, repair and dissolve. One row of the store serialises all
//! changes, so two nodes that plan at once can't give a VM to two groups.

mod action;
mod decision;
mod engine_spec;
mod event;
mod groups;
mod load_limit;
mod order;
mod presence;
mod rows;
mod settings;
mod vm_report;

pub use action::GroupsAction;
pub use decision::{Change, Decision};
pub use engine_spec::{EngineSpec, ModelSpec};
pub use event::{GroupsEvent, KnownBoots, ProbeFailure};
pub use groups::{GroupStatus, Groups, Head, VmStatus};
pub use load_limit::LoadLimit;
pub use order::{Order, OrderResult};
pub use presence::{Presence, PresenceAction, PresenceRow, RelayEndpoint, SUCCESSOR_COUNT};
pub use rows::{GROUPS_TABLE, GroupRow, PlannerRow, RowError};
pub use settings::{GroupsSettings, SpareRule};
pub use vm_report::{GroupReport, GroupState, VmReport};
