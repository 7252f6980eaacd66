//! Routes by host and path, for requests that don't name a catalogue entry.

use std::collections::HashMap;
use std::time::Duration;

/// The routes of one deployment, looked up by host and path.
///
/// # Examples
///
/// ```
/// use tanagerhub_catalogue::{Ingress, IngressRoute};
///
/// let route = IngressRoute::new("shop.example", "/fit/");
/// let ingress = Ingress::new(vec![route]);
/// assert!(ingress.find("shop.example", "/fit/note").is_some());
/// assert!(ingress.find("shop.example", "/fit").is_none());
/// assert!(ingress.find("other.example", "/fit/").is_none());
/// ```
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Ingress {
    /// Routes by host, longest prefix first.
    hosts: HashMap<String, Vec<IngressRoute>>,
}

/// One route, with the limits and objectives of its requests.
#[derive(Debug, Clone, PartialEq)]
pub struct IngressRoute {
    /// The name by which operators refer to the route.
    pub name: String,
    /// The host that the requests name.
    pub host: String,
    /// The path prefix; starts and ends with a slash.
    pub prefix: String,
    /// Which part of a request may be repeated.
    pub kind: RouteKind,
    /// Maximum time until the response is complete.
    pub timeout: Duration,
    /// Maximum time until the first byte for a response to count as on time.
    pub first_byte_objective: Duration,
    /// Maximum time between two events for a stream to count as on time; `None` for no objective.
    pub event_gap_objective: Option<Duration>,
    /// Maximum number of backend servers to which one request may be sent.
    pub max_attempts: u32,
    /// Priority among routes; 0 is the highest.
    pub priority: u8,
    /// Whether callers may send requests without a key.
    pub public: bool,
    /// The services among which requests are distributed by weight.
    pub targets: Vec<RouteTarget>,
}

/// A service that receives requests of a route.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RouteTarget {
    /// The service's name.
    pub service: String,
    /// Its share of the requests, relative to the weights of the other targets.
    pub weight: u32,
}

/// Which part of a route's requests may be repeated.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Default)]
pub enum RouteKind {
    /// The complete request, any number of times.
    Idempotent,
    /// No part of the request.
    #[default]
    Unrepeatable,
    /// No part of the request; the response is a stream of events.
    Stream,
    /// The rest of a stream of events, after the last complete event.
    ResumableStream,
}

impl RouteKind {
    /// Returns whether the response is a stream of events.
    #[must_use]
    pub const fn is_stream(self) -> bool {
        matches!(self, Self::Stream | Self::ResumableStream)
    }
}

impl IngressRoute {
    /// Returns a route without targets, whose requests may not be repeated and need a key.
    #[must_use]
    pub fn new(host: &str, prefix: &str) -> Self {
        Self {
            name: String::new(),
            host: host.to_owned(),
            prefix: prefix.to_owned(),
            kind: RouteKind::default(),
            timeout: Duration::from_secs(30),
            first_byte_objective: Duration::from_secs(1),
            event_gap_objective: None,
            max_attempts: 1,
            priority: 0,
            public: false,
            targets: Vec::new(),
        }
    }

    /// Returns the service for a request, chosen by weight.
    ///
    /// `random` must be uniformly distributed over requests. Returns `None` if there are no targets
    /// or all weights are zero.
    #[must_use]
    pub fn target(&self, random: u64) -> Option<&str> {
        let total: u64 = self
            .targets
            .iter()
            .map(|target| u64::from(target.weight))
            .sum();
        let mut remaining = random.checked_rem(total)?;
        let target = self.targets.iter().find(|target| {
            let weight = u64::from(target.weight);
            let selected = remaining < weight;
            remaining = remaining.saturating_sub(weight);
            selected
        });
        target.map(|target| target.service.as_str())
    }
}

impl Ingress {
    /// Groups the routes by host and sorts them for look-ups.
    #[must_use]
    pub fn new(routes: Vec<IngressRoute>) -> Self {
        let mut hosts: HashMap<String, Vec<IngressRoute>> = HashMap::new();
        for route in routes {
            hosts.entry(route.host.clone()).or_default().push(route);
        }
        for routes in hosts.values_mut() {
            routes.sort_by_key(|route| std::cmp::Reverse(route.prefix.len()));
        }
        Self { hosts }
    }

    /// Returns the route of this host with the longest prefix that `path` starts with.
    #[must_use]
    pub fn find(&self, host: &str, path: &str) -> Option<&IngressRoute> {
        self.hosts
            .get(host)?
            .iter()
            .find(|route| path.starts_with(&route.prefix))
    }

    /// Returns the routes of all hosts, in no particular order.
    pub fn routes(&self) -> impl Iterator<Item = &IngressRoute> {
        self.hosts.values().flatten()
    }
}
