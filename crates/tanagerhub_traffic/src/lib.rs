//! Traffic decisions: admission, routing, retries and claims.
//!
//! The types of this crate are state machines without I/O. [`Traffic`] decides on each request of a
//! node. The code that uses this crate, called the edge, submits requests, carries out each
//! [`Decision`] and reports the events of each attempt.

mod average;
mod body_check;
mod claims;
mod counters;
mod crash_blame;
mod crash_decision;
mod crash_parts;
mod crash_record;
mod crash_row;
mod crash_sharing;
mod crash_subject;
mod crash_table;
mod decision;
mod drain;
mod entry_state;
mod event_relay;
mod fair_queue;
mod group;
mod group_memory;
mod groups;
mod in_flight;
mod obsolete_rows;
mod organisation_meter;
mod prefix_index;
mod rate_limit;
mod relay_error;
mod request;
mod retry_budget;
mod route_table;
mod self_report;
mod self_reports;
mod server_limits;
mod settings;
mod share;
mod shared_ask;
mod traffic;

pub use body_check::{BodyCheck, Framing};
pub use claims::{
    CLAIM_PREFIX, ClaimAction, ClaimCounters, ClaimRequest, ClaimResponse, ClaimResult, ClaimRow,
    ClaimSettings, Claims, RecordedResponse, claim_key,
};
pub use counters::Counters;
pub use crash_decision::CrashDecision;
pub use crash_record::Evidence;
pub use crash_row::{CRASHES_TABLE, CrashKey, CrashRow, CrashRowChanges};
pub use crash_subject::CrashSubject;
pub use crash_table::{CrashFact, CrashTable, FailedAttempt};
pub use decision::{AttemptEvent, AttemptKey, Decision, Dispatch, Next, Outcome, Reason, Refusal};
pub use drain::{Drain, DrainState};
pub use event_relay::EventRelay;
pub use fair_queue::{FairQueue, QueueKey, Queued};
pub use rate_limit::RateLimit;
pub use relay_error::RelayError;
pub use request::{Parts, Prefixes, Repeat, RequestInfo};
pub use retry_budget::RetryBudget;
pub use route_table::{LoadReport, Route, RouteTable};
pub use self_report::{MAX_PAUSE, SelfReport, ServerLifetime};
pub use self_reports::{EndedReport, SelfReportChange};
pub use server_limits::ServerLimitChange;
pub use settings::{Selection, TrafficSettings};
pub use share::{Freshness, Share};
pub use traffic::{
    EntryStatus, GroupObservation, GroupStatus, OrganisationStatus, Traffic, TrafficStatus,
};
