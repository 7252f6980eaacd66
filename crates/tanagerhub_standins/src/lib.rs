//! Small stand-ins for the platform, engines and services.
//!
//! They run as tasks on loopback ports, with faults that tests switch on. What they see goes into
//! one log, from which a checker judges the system's promises.

mod checker;
mod engine_standin;
mod gate;
mod platform_standin;
mod record;
mod recorder;
mod server;
mod service_standin;
mod violation;
mod weight_store;

pub use checker::{Checker, CheckerLimits};
pub use engine_standin::{CRASH_MARKER, EngineSettings, EngineStandin, Fabric, ModelApi, Prompt};
pub use platform_standin::{PlatformCounts, PlatformStandin, RateLimits};
pub use record::{Absence, Fact, Outcome, Place, Record, Started, StopCause, Verdict, Work};
pub use recorder::{Log, Recorder};
pub use service_standin::ServiceStandin;
pub use violation::{Promise, Violation};
pub use weight_store::WeightStore;
