//! Parameters and outcomes of a simulation run.

use std::time::Duration;

use hdrhistogram::Histogram;

/// Maximum number of requests that a group finishes per second.
pub const CAPACITY_PER_GROUP: f64 = 8.0;
/// Number of organisations, all with the same weight.
pub const ORGANISATIONS: usize = 10;

/// Parameters of one simulation run.
#[derive(Debug, Clone)]
pub struct Scenario {
    pub seed: u64,
    pub groups: usize,
    pub nodes: usize,
    pub seconds: u64,
    /// Offered load, as a fraction of capacity.
    pub load: f64,
    /// Load that the first organisation offers, as a multiple of its share of the capacity; `None`
    /// means the same as the others.
    pub first_organisation_load: Option<f64>,
    pub deadline: Duration,
    pub faults: Vec<(u64, Fault)>,
    pub baseline: bool,
}

/// A fault, or the recovery from one.
#[derive(Debug, Clone, Copy)]
pub enum Fault {
    /// A group crashes; control detects it 2 s later.
    Crash(usize),
    /// A group is slower by this factor.
    Slow(usize, f64),
    /// A data centre is marked out of service; nodes detect it 2 s later.
    DataCentreMarkedOut(usize),
    /// All groups of a data centre crash because its VMs are unreachable.
    DataCentreDown(usize),
    /// The groups of the data centre are restored, in cold start.
    DataCentreRestored(usize),
    /// The groups of the data centre have become warm.
    DataCentreWarm(usize),
    /// Every engine breaks the connection of each attempt, which provokes a retry storm.
    AllAttemptsBreak,
}

impl Scenario {
    /// Returns a scenario of 60 groups behind 6 nodes at 70 % load without faults.
    pub fn ordinary() -> Self {
        Self {
            seed: 11,
            groups: 60,
            nodes: 6,
            seconds: 20,
            load: 0.7,
            first_organisation_load: None,
            deadline: Duration::from_secs(10),
            faults: Vec::new(),
            baseline: false,
        }
    }

    #[must_use]
    pub fn load(mut self, load: f64) -> Self {
        self.load = load;
        self
    }

    #[must_use]
    pub fn fault(mut self, second: u64, fault: Fault) -> Self {
        self.faults.push((second, fault));
        self
    }

    #[must_use]
    pub fn baseline(mut self) -> Self {
        self.baseline = true;
        self
    }
}

/// Results of a run; times are in milliseconds.
#[derive(Debug)]
pub struct Outcomes {
    pub offered: u64,
    /// Complete responses within the deadline.
    pub in_time: u64,
    /// Requests refused before any attempt was sent.
    pub refused: u64,
    /// Refused requests whose refusal gave no time to retry after.
    pub refused_without_retry_after: u64,
    /// Repeatable requests that were accepted and got no complete response in time.
    pub lost: u64,
    /// Unrepeatable requests that were accepted and ended without a complete response in time, with
    /// outcome unknown or ran.
    pub unknown: u64,
    /// Unrepeatable requests that were received more than once by engines.
    pub duplicated: u64,
    pub attempts: u64,
    /// Engines that crashed during cold start because they had too many requests.
    pub overrun: u64,
    pub blocks_looked_up: u64,
    pub blocks_hit: u64,
    /// Time from submission to the first dispatch.
    pub wait: Histogram<u64>,
    /// Same as `wait`, without the first organisation.
    pub wait_others: Histogram<u64>,
    /// Time from submission to the first token.
    pub first_token: Histogram<u64>,
    /// Time between tokens.
    pub gap: Histogram<u64>,
}

impl Default for Outcomes {
    fn default() -> Self {
        let histogram = || Histogram::new_with_max(3_600_000, 3).unwrap();
        Self {
            offered: 0,
            in_time: 0,
            refused: 0,
            refused_without_retry_after: 0,
            lost: 0,
            unknown: 0,
            duplicated: 0,
            attempts: 0,
            overrun: 0,
            blocks_looked_up: 0,
            blocks_hit: 0,
            wait: histogram(),
            wait_others: histogram(),
            first_token: histogram(),
            gap: histogram(),
        }
    }
}

impl Outcomes {
    /// Returns the percentage of prompt blocks that were found in a cache.
    pub fn hit_rate(&self) -> u64 {
        100 * self.blocks_hit / self.blocks_looked_up.max(1)
    }
}
