//! Request rate limits that backend servers advertise in their responses.

use std::collections::{BTreeSet, HashMap};
use std::time::Duration;

use serde::Serialize;
use tanagerhub_catalogue::VmId;
use tanagerhub_clock::Moment;

use crate::{RouteTable, Share};

/// Number of requests that all nodes together may send at once, in addition to one second's limit.
const BURST: f64 = 4.0;
/// Minimum limit in requests a second, so that a limit of zero is noticed to have been lifted.
const MIN_LIMIT: f64 = 0.2;
/// Fraction of the limit that is left to the nodes without a share, for the same reason.
const CHECK_FRACTION: f64 = 0.1;
/// How long the limit of a backend server is kept that no route leads to.
const UNLISTED_LIFETIME: Duration = Duration::from_mins(1);
/// How long this node's own observation of a limit takes precedence over those of other nodes.
const OBSERVATION_PRECEDENCE: Duration = Duration::from_millis(500);

/// The limits in force, with this node's shares of them.
#[derive(Debug, Default)]
pub(crate) struct ServerLimits {
    limits: HashMap<VmId, ServerLimit>,
    /// When this node last observed a change itself.
    observed_at: HashMap<VmId, Moment>,
    /// This node's shares of the backend servers that routes lead to.
    shares: HashMap<VmId, Share>,
    /// Backend servers whose limits this node found changed, for the other nodes.
    changed: BTreeSet<VmId>,
}

/// A change of the request rate that a backend server advertises.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
pub struct ServerLimitChange {
    /// The VM of the backend server.
    pub server: VmId,
    /// The former limit in requests a second from all nodes together; `None` if there was none.
    pub before: Option<f64>,
    /// The limit from now on.
    pub limit: Option<f64>,
    /// The rate at which this node may send requests from now on; `None` without a limit.
    pub rate: Option<f64>,
}

/// The limit of one backend server, as a token bucket with room for one request.
#[derive(Debug, Clone, Copy)]
struct ServerLimit {
    /// Requests a second from all nodes together.
    limit: f64,
    share: Share,
    level: f64,
    filled_at: Moment,
    listed_at: Moment,
}

impl ServerLimit {
    /// Starts with a level by which the first requests of all nodes are spread over time.
    fn new(now: Moment, limit: f64, share: Share) -> Self {
        let senders = senders(limit, share);
        let place = f64::from(share.place);
        let level = if place < senders {
            1.0 - (place + 1.0) / senders
        } else {
            -place / f64::from(share.nodes.max(1))
        };
        Self {
            limit,
            share,
            level,
            filled_at: now,
            listed_at: now,
        }
    }

    /// Returns the rate at which this node may send requests.
    ///
    /// Only so many nodes have a share that the requests that all of them may send at once stay
    /// within the limit; the others send just enough to notice that the limit was lifted.
    fn rate(&self) -> f64 {
        let limit = self.limit.max(MIN_LIMIT);
        let senders = senders(limit, self.share);
        if f64::from(self.share.place) < senders {
            limit / senders
        } else {
            limit * CHECK_FRACTION / f64::from(self.share.nodes.max(1))
        }
    }

    fn level(&self, now: Moment) -> f64 {
        let gained = now.since(self.filled_at).as_secs_f64() * self.rate();
        (self.level + gained).min(1.0)
    }

    fn fill(&mut self, now: Moment) {
        self.level = self.level(now);
        self.filled_at = now;
    }
}

/// Returns the number of nodes that have a share of a limit.
fn senders(limit: f64, share: Share) -> f64 {
    (limit.max(MIN_LIMIT) + BURST)
        .floor()
        .min(f64::from(share.nodes.max(1)))
}

impl ServerLimits {
    /// Applies this node's shares of the backend servers that routes lead to.
    pub(crate) fn apply_routes(&mut self, now: Moment, table: &RouteTable) {
        let routes = table.routes.iter();
        self.shares = routes.map(|route| (route.server, route.share)).collect();
        for (server, limit) in &mut self.limits {
            if let Some(share) = self.shares.get(server) {
                limit.fill(now);
                limit.share = *share;
                limit.listed_at = now;
            }
        }
        let is_kept = |limit: &ServerLimit| now.since(limit.listed_at) < UNLISTED_LIFETIME;
        self.limits.retain(|_, limit| is_kept(limit));
        self.observed_at
            .retain(|_, at| now.since(*at) < OBSERVATION_PRECEDENCE);
    }

    pub(crate) fn is_limited(&self, server: VmId) -> bool {
        self.limits.contains_key(&server)
    }

    /// Returns the limit that a backend server advertises, in requests a second from all nodes.
    pub(crate) fn limit(&self, server: VmId) -> Option<f64> {
        self.limits.get(&server).map(|limit| limit.limit)
    }

    /// Returns the backend servers that advertise a limit.
    pub(crate) fn limited(&self) -> impl Iterator<Item = VmId> {
        self.limits.keys().copied()
    }

    /// Whether this node's share leaves room for one more request.
    pub(crate) fn may_start(&self, now: Moment, server: VmId) -> bool {
        let limit = self.limits.get(&server);
        limit.is_none_or(|limit| limit.level(now) >= 1.0)
    }

    /// Records that a request is sent.
    pub(crate) fn record_start(&mut self, now: Moment, server: VmId) {
        if let Some(limit) = self.limits.get_mut(&server) {
            limit.fill(now);
            limit.level -= 1.0;
        }
    }

    /// Records the limit in a backend server's newest response. Returns the change, if any.
    pub(crate) fn observe(
        &mut self,
        now: Moment,
        server: VmId,
        limit: Option<f64>,
    ) -> Option<ServerLimitChange> {
        self.observed_at.insert(server, now);
        let change = self.set(now, server, limit)?;
        self.changed.insert(server);
        Some(change)
    }

    /// Applies a limit that another node has observed. Returns the change, if any.
    pub(crate) fn apply_observation(
        &mut self,
        now: Moment,
        server: VmId,
        limit: Option<f64>,
    ) -> Option<ServerLimitChange> {
        let own = self.observed_at.get(&server);
        if own.is_some_and(|at| now.since(*at) < OBSERVATION_PRECEDENCE) {
            return None;
        }
        self.set(now, server, limit)
    }

    /// Returns the backend servers whose limits this node found changed since the last call.
    pub(crate) fn take_changed(&mut self) -> BTreeSet<VmId> {
        std::mem::take(&mut self.changed)
    }

    fn set(&mut self, now: Moment, server: VmId, limit: Option<f64>) -> Option<ServerLimitChange> {
        let before = self.limit(server);
        if before == limit {
            return None;
        }
        match limit {
            None => drop(self.limits.remove(&server)),
            Some(limit) => self.set_limit(now, server, limit),
        }
        Some(ServerLimitChange {
            server,
            before,
            limit,
            rate: self.limits.get(&server).map(ServerLimit::rate),
        })
    }

    fn set_limit(&mut self, now: Moment, server: VmId, limit: f64) {
        let share = self.shares.get(&server).copied().unwrap_or(Share::NONE);
        let known = self
            .limits
            .entry(server)
            .or_insert_with(|| ServerLimit::new(now, limit, share));
        known.fill(now);
        known.limit = limit;
    }
}
