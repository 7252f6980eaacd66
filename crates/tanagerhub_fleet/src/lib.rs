//! Control decisions on replica groups.
//!
//! Formation, wholeness, repair, cold start and placement, as state machines without I/O.

mod member_report;
mod order;

pub use member_report::{EngineState, MemberReport, Temperature};
pub use order::{Order, OrderAnswer, OrderKind};
