//! Settings of the control decisions.

use std::time::Duration;

use serde::Serialize;
use serde_with::{DurationMilliSeconds, serde_as};
use tanagerhub_catalogue::{DataCentreId, NodeId};

/// Where a node is, and its timings; all durations are in milliseconds when serialised.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use tanagerhub_catalogue::{DataCentreId, NodeId};
/// use tanagerhub_fleet::FleetSettings;
///
/// let settings = FleetSettings::default()
///     .node(NodeId::of("10.0.0.1:7100"), DataCentreId::of("tbs-a"))
///     .load_time(Duration::from_secs(120));
/// assert_eq!(settings.age_limit, Duration::from_secs(2));
/// ```
#[serde_as]
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct FleetSettings {
    /// This node.
    pub node: NodeId,
    /// The data centre of this node.
    pub data_centre: DataCentreId,
    /// The nodes that watch one group: two in its data centre first, the others elsewhere.
    pub watchers: usize,
    /// The age at which the first watcher renews an attestation.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub probe_every: Duration,
    /// The additional age at which each further watcher steps in.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub standby_step: Duration,
    /// The longest time between two probes of a member whose group is attested by its tokens.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub report_every: Duration,
    /// How long a probe may take.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub probe_timeout: Duration,
    /// The age from which an attestation no longer makes a group eligible.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub age_limit: Duration,
    /// The shortest time between two reads of all group rows.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub read_every: Duration,
    /// The time that each group adds to the time between two reads of all group rows.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub read_share: Duration,
    /// A silence between two events that counts as a pause of this process.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub pause_limit: Duration,
    /// How long an unresponsive member may stay away before it is replaced.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub patience: Duration,
    /// How long a member takes to load, on an ordinary day.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub load_time: Duration,
    /// The time after which a member that still loads is given up.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub load_limit: Duration,
    /// Standby groups that an entry may hold for each hundred replicas, rounded up.
    pub standbys: u32,
    /// How long a group may be broken before a standby group takes its place.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub blip: Duration,
    /// Members that may load from the weight store at once.
    pub loads_max: usize,
    /// How long a VM is left out after its first failure; doubles with each further one.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub backoff_min: Duration,
    /// The longest time that a failing VM is left out.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub backoff_max: Duration,
    /// How long the next planner waits for the one before it to act.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub takeover: Duration,
    /// How long an order may wait before it is sent.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub order_limit: Duration,
    /// Answers after which a plain service that came back counts as warm.
    pub warm_answers: u32,
    /// Decisions that are kept for an explanation.
    pub decisions: usize,
}

impl Default for FleetSettings {
    fn default() -> Self {
        Self {
            node: NodeId::default(),
            data_centre: DataCentreId::default(),
            watchers: 3,
            probe_every: Duration::from_secs(1),
            standby_step: Duration::from_millis(250),
            report_every: Duration::from_millis(2_500),
            probe_timeout: Duration::from_millis(500),
            age_limit: Duration::from_secs(2),
            read_every: Duration::from_secs(5),
            read_share: Duration::from_millis(100),
            pause_limit: Duration::from_secs(1),
            patience: Duration::from_secs(20),
            load_time: Duration::from_secs(90),
            load_limit: Duration::from_mins(10),
            standbys: 5,
            blip: Duration::from_secs(3),
            loads_max: 64,
            backoff_min: Duration::from_mins(1),
            backoff_max: Duration::from_hours(1),
            takeover: Duration::from_secs(15),
            order_limit: Duration::from_secs(1),
            warm_answers: 8,
            decisions: 1_024,
        }
    }
}

macro_rules! setters {
    ($($(#[$doc:meta])* $name:ident: $kind:ty),* $(,)?) => {
        $(
            $(#[$doc])*
            #[must_use]
            pub const fn $name(mut self, $name: $kind) -> Self {
                self.$name = $name;
                self
            }
        )*
    };
}

impl FleetSettings {
    /// Sets this node and its data centre.
    #[must_use]
    pub const fn node(mut self, node: NodeId, data_centre: DataCentreId) -> Self {
        self.node = node;
        self.data_centre = data_centre;
        self
    }

    setters! {
        /// Sets the age at which the first watcher renews an attestation.
        probe_every: Duration,
        /// Sets how long a probe may take.
        probe_timeout: Duration,
        /// Sets the age from which an attestation no longer counts.
        age_limit: Duration,
        /// Sets the shortest time between two reads of all group rows.
        read_every: Duration,
        /// Sets how long an unresponsive member may stay away.
        patience: Duration,
        /// Sets how long a member takes to load, on an ordinary day.
        load_time: Duration,
        /// Sets the time after which a member that still loads is given up.
        load_limit: Duration,
        /// Sets how many standby groups an entry may hold for each hundred replicas.
        standbys: u32,
        /// Sets how many members may load from the weight store at once.
        loads_max: usize,
        /// Sets how long a VM is left out after its first failure.
        backoff_min: Duration,
        /// Sets how long the next planner waits for the one before it.
        takeover: Duration,
    }
}
