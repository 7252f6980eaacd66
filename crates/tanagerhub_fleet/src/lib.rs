//! Control decisions on replica groups.
//!
//! Formation, wholeness, repair, cold start and placement, as one state machine without I/O:
//! [`Fleet`] takes [`FleetEvent`]s and asks for [`FleetAction`]s. What must hold is held by
//! conditional transactions on the rows in [`rows`]; who acts is a matter of efficiency only.

mod action;
mod counters;
mod decision;
mod event;
mod fleet;
mod group_view;
mod member_report;
mod order;
mod placement;
mod rendezvous;
pub mod rows;
mod settings;
mod status;

pub use action::{FleetAction, ReadId, RowQuery};
pub use counters::FleetCounters;
pub use decision::{Decision, DrainCause, Reason, Subject};
pub use event::{FleetEvent, OrderFailure, Peer, ProbeFailure, StoreFailure};
pub use fleet::Fleet;
pub use group_view::{GroupView, MemberView, NotServing, Phase};
pub use member_report::{EngineState, MemberReport, Temperature};
pub use order::{Order, OrderKind, OrderResponse};
pub use settings::FleetSettings;
pub use status::{EntryStatus, FleetStatus};
pub use tanagerhub_catalogue::Health;
