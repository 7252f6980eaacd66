//! Judges a log by the system's promises.

mod configuration;
mod exclusions;
mod groups;
mod requests;

use std::time::Duration;

use crate::{Log, Record, Violation};

use configuration::Configuration;
use exclusions::Exclusions;
use groups::Groups;
use requests::Requests;

/// How long the system may take before a change must show.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CheckerLimits {
    /// Until a group with a missing member takes no new request.
    pub missing: Duration,
    /// Until a place that was taken out, or a leaving server, gets no new work.
    pub marks: Duration,
    /// Until an accepted configuration is in force at every node.
    pub configuration: Duration,
}

impl Default for CheckerLimits {
    fn default() -> Self {
        Self {
            missing: Duration::from_secs(5),
            marks: Duration::from_secs(5),
            configuration: Duration::from_secs(17),
        }
    }
}

/// Replays a log and collects the broken promises.
///
/// It knows nothing of the product: it reads only what stand-ins and test clients noted.
///
/// # Examples
///
/// ```
/// use tanagerhub_standins::{Checker, Log};
///
/// assert!(Checker::default().check(&Log::default()).is_empty());
/// ```
#[derive(Debug, Clone, Copy, Default)]
pub struct Checker {
    limits: CheckerLimits,
}

impl Checker {
    /// Judges by other limits.
    #[must_use]
    pub const fn limits(mut self, limits: CheckerLimits) -> Self {
        self.limits = limits;
        self
    }

    /// Every broken promise, in the order in which the log shows it.
    #[must_use]
    pub fn check(&self, log: &Log) -> Vec<Violation> {
        if log.dropped > 0 {
            return vec![Violation::LogOverflow {
                dropped: log.dropped,
            }];
        }
        let mut violations = Vec::new();
        let mut groups = Groups::default();
        let mut exclusions = Exclusions::default();
        let mut requests = Requests::default();
        let mut configuration = Configuration::default();
        for Record { at, event } in &log.records {
            groups.apply(*at, event, self.limits.missing, &mut violations);
            exclusions.apply(*at, event, self.limits.marks, &mut violations);
            requests.apply(event, &mut violations);
            configuration.apply(*at, event, self.limits.configuration, &mut violations);
        }
        requests.finish(&mut violations);
        violations
    }
}
