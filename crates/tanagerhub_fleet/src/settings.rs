//! Settings of the control decisions.

use std::time::Duration;

use serde::Serialize;
use serde_with::{DurationMilliSeconds, serde_as};
use tanagerhub_catalogue::{DataCentreId, NodeId};

/// The identity and location of a node, and its timings and limits. All durations are in
/// milliseconds when serialised.
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
    /// The id of this node.
    pub node: NodeId,
    /// The data centre of this node.
    pub data_centre: DataCentreId,
    /// The number of nodes that watch one group: first two in its data centre, then others
    /// elsewhere.
    pub watchers: usize,
    /// The age at which the first watcher renews an attestation.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub probe_every: Duration,
    /// The additional age after which each further watcher renews the attestation.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub standby_step: Duration,
    /// The longest interval between two probes of a member whose group is attested by streamed
    /// tokens.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub report_every: Duration,
    /// The timeout of a probe.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub probe_timeout: Duration,
    /// The age at which an attestation stops making a group eligible.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub age_limit: Duration,
    /// The shortest interval between two reads of all group rows.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub read_every: Duration,
    /// The read interval per group row: all group rows are read at the longer of `read_every` and
    /// this duration times their number.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub read_share: Duration,
    /// The time without any event from which this process counts as having been paused.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub pause_limit: Duration,
    /// How long a member may be unreachable before it is replaced.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub patience: Duration,
    /// The usual time that a member takes to load.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub load_time: Duration,
    /// The time after which a member that is still loading is replaced.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub load_limit: Duration,
    /// The number of standby groups that an entry may hold per hundred replicas, rounded up.
    pub standbys: u32,
    /// How long a group may be broken before a standby group replaces it.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub blip: Duration,
    /// The limit on members that load from the weight store at once.
    pub loads_max: usize,
    /// How long a VM is left out of formations after its first failure; doubles with each further
    /// one.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub backoff_min: Duration,
    /// The longest time that a failing VM is left out of formations. Its failures are dropped when
    /// the same time has passed since it was last left out.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub backoff_max: Duration,
    /// How long each further planner waits for the one before it to act.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub takeover: Duration,
    /// The time within which an order must be sent.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub order_limit: Duration,
    /// The number of responses after which a plain service counts as warm, counted since it was
    /// listed, restarted or turned cold.
    pub warm_answers: u32,
    /// The number of decisions that are kept for [`Fleet::explain`](crate::Fleet::explain).
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
        /// Sets the timeout of a probe.
        probe_timeout: Duration,
        /// Sets the age at which an attestation stops making a group eligible.
        age_limit: Duration,
        /// Sets the shortest interval between two reads of all group rows.
        read_every: Duration,
        /// Sets how long a member may be unreachable before it is replaced.
        patience: Duration,
        /// Sets the usual time that a member takes to load.
        load_time: Duration,
        /// Sets the time after which a member that is still loading is replaced.
        load_limit: Duration,
        /// Sets how many standby groups an entry may hold per hundred replicas.
        standbys: u32,
        /// Sets how many members may load from the weight store at once.
        loads_max: usize,
        /// Sets how long a VM is left out of formations after its first failure.
        backoff_min: Duration,
        /// Sets how long each further planner waits for the one before it.
        takeover: Duration,
    }
}
