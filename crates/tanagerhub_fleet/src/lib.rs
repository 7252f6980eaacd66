//! Control decisions on replica groups.
//!
//! Formation, completeness, repair, cold start and placement are one state machine without I/O:
//! [`Fleet`] handles [`FleetEvent`]s and returns [`FleetAction`]s. Conditional transactions on the
//! rows in [`rows`] guarantee consistency whichever node acts; the choice of the acting node only
//! avoids duplicate work.

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
