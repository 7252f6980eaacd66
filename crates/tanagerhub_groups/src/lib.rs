//! Forms and repairs replica groups according to the reports of VMs in the store.
//!
//! [`Groups`] is a state machine without I/O. Every node feeds it the VMs' reports and reads from
//! it which groups accept requests. On the planner, the node that holds the planner's row, it also
//! decides which groups to form, repair and dissolve. The planner's row serialises all changes, so
//! two nodes that plan at the same time can't assign a VM to two groups.

mod action;
mod decision;
mod demand;
mod engine_spec;
mod event;
mod groups;
mod join_proof;
mod load_limit;
mod order;
mod pledge;
mod presence;
mod relay_order;
mod rows;
mod settings;
mod vm_report;

pub use action::GroupsAction;
pub use decision::{Change, Decision};
pub use demand::{Demand, EntryDemand};
pub use engine_spec::{EngineSpec, ModelSpec};
pub use event::{GroupsEvent, KnownBoots, LapsedBoot, ProbeFailure};
pub use groups::{GroupStatus, Groups, Head, ModelStatus, Reach, TERM_LENGTH, TermRow, VmStatus};
pub use join_proof::{CountedJoin, JoinProof, OpenProof, SoleJoin};
pub use load_limit::LoadLimit;
pub use order::{Order, OrderResult};
pub use pledge::Pledge;
pub use presence::{
    Peer, Presence, PresenceAction, PresenceRow, Promised, RelayEndpoint, SLOW_PLANNER_TIMEOUT,
    SUCCESSOR_COUNT,
};
pub use rows::{GROUPS_TABLE, GroupRow, GuarantorsRow, PlannerRow, RowError};
pub use settings::{GroupsSettings, SpareRule};
pub use vm_report::{GroupReport, GroupState, SeenVm, VmReport};
