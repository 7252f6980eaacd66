//! Checks a log of events against the promises of the system.

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

/// Time limits within which a change must take effect.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CheckerLimits {
    /// From a member going missing until its group starts no new request.
    pub missing: Duration,
    /// From a data centre or VM being marked out, or a VM being announced as leaving, until it
    /// receives no new request.
    pub marks: Duration,
    /// From a configuration being accepted until it is in force at every node.
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

/// Replays a log and collects the violations of promises.
///
/// It is independent of the product: it reads only events that stand-ins and test clients recorded.
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
    /// Sets the time limits.
    #[must_use]
    pub const fn limits(mut self, limits: CheckerLimits) -> Self {
        self.limits = limits;
        self
    }

    /// Returns the violations in log order, followed by the requests without a response.
    ///
    /// A log that dropped records yields only [`Violation::LogOverflow`].
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
