//! Stand-ins for the platform, engines and services.
//!
//! They run as tasks on loopback ports, and tests inject faults into them. They record events in
//! one log, and a checker compares that log with the promises of the system.

mod caller;
mod checker;
mod connection_faults;
mod engine_standin;
mod loopback;
mod node_set;
mod operator;
mod platform_standin;
mod record;
mod recorder;
mod sample;
mod server;
mod service_standin;
mod site;
mod violation;
mod wait;
mod weight_store;

pub use caller::{CallResult, Caller, ChatRequest, Unreachable};
pub use checker::{Checker, CheckerLimits};
pub use engine_standin::{CRASH_MARKER, EngineSettings, EngineStandin, Fabric, ModelApi, Prompt};
pub use loopback::unused_address;
pub use node_set::{NodeSet, NodeSetError, OPERATOR_TOKEN};
pub use operator::{Change, Operator, OperatorFailure, all_entries_served};
pub use platform_standin::{PlatformCounts, PlatformStandin, RateLimits};
pub use record::{
    Event, MarkTarget, MissingCause, Outcome, Record, RequestId, Started, StopCause, Verdict,
};
pub use recorder::{Log, Recorder};
pub use sample::{
    ADVISOR, DATA_CENTRES, OTHER_KEY, REGION, SAMPLE_KEY, SHOP_API, SUMMARISER, sample_catalogue,
};
pub use service_standin::ServiceStandin;
pub use site::{BackendServer, Site, SiteSettings};
pub use violation::{Promise, Violation};
pub use wait::{WaitTimeout, wait_until};
pub use weight_store::WeightStore;
