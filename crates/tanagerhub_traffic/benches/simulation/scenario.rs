//! What is simulated, and what came of it.

use std::time::Duration;

use hdrhistogram::Histogram;

/// Requests that the engines finish in a second, at most, per group.
pub const CAPACITY_PER_GROUP: f64 = 8.0;
/// Organisations, each with the same share.
pub const ORGANISATIONS: usize = 10;

/// One run.
#[derive(Debug, Clone)]
pub struct Scenario {
    pub seed: u64,
    pub groups: usize,
    pub nodes: usize,
    pub seconds: u64,
    /// Offered load, as a fraction of capacity.
    pub load: f64,
    /// What the first organisation offers, in shares of the capacity.
    pub first_organisation_load: Option<f64>,
    pub deadline: Duration,
    pub faults: Vec<(u64, Fault)>,
    pub baseline: bool,
}

/// Something that goes wrong, or right again.
#[derive(Debug, Clone, Copy)]
pub enum Fault {
    /// A group dies; control sees it 2 s later.
    Crash(usize),
    /// A group takes this many times longer.
    Slow(usize, f64),
    /// A data centre is marked out; nodes see it 2 s later.
    DataCentreMarkedOut(usize),
    /// The VMs of a data centre go.
    DataCentreDown(usize),
    /// The data centre's groups are back, in cold start.
    DataCentreRestored(usize),
    /// The data centre's groups are warm.
    DataCentreWarm(usize),
    /// Every engine breaks each request's connection, as a hot storm of failures.
    AllAttemptsBreak,
}

impl Scenario {
    /// Sixty groups behind six nodes at 70 % load.
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

/// What came of a run.
#[derive(Debug)]
pub struct Outcomes {
    pub offered: u64,
    /// Whole answers within the deadline.
    pub in_time: u64,
    /// Refused before anything was sent.
    pub refused: u64,
    /// Of these, without saying when to come back.
    pub refused_without_retry_after: u64,
    /// Repeatable requests that were accepted and got no whole answer in time.
    pub lost: u64,
    /// Unrepeatable requests that ended with outcome unknown or ran.
    pub unknown: u64,
    /// Unrepeatable requests that more than one engine received.
    pub duplicated: u64,
    pub attempts: u64,
    /// Engines in cold start that crashed under too much work.
    pub overrun: u64,
    pub blocks_looked_up: u64,
    pub blocks_hit: u64,
    /// Milliseconds from submission to dispatch.
    pub wait: Histogram<u64>,
    /// As `wait`, without the first organisation.
    pub wait_others: Histogram<u64>,
    /// Milliseconds from submission to the first token.
    pub first_token: Histogram<u64>,
    /// Milliseconds between tokens.
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
    /// The share of prompt blocks that were found in a cache, in per cent.
    pub fn hit_rate(&self) -> u64 {
        100 * self.blocks_hit / self.blocks_looked_up.max(1)
    }
}
