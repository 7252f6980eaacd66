//! Routes by host and path, for callers that name no catalogue entry.

use std::collections::HashMap;
use std::time::Duration;

/// What callers of one deployment may reach, by host and path.
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
    /// By host, longest prefix first.
    hosts: HashMap<String, Vec<IngressRoute>>,
}

/// One route and how its requests are treated.
#[derive(Debug, Clone, PartialEq)]
pub struct IngressRoute {
    /// The name that operators use.
    pub name: String,
    /// The host that callers name.
    pub host: String,
    /// The start of the path; begins and ends with a slash.
    pub prefix: String,
    /// What may be repeated.
    pub kind: RouteKind,
    /// The longest time until the answer is complete.
    pub timeout: Duration,
    /// The time until the first byte of an answer that counts as on time.
    pub first_byte_objective: Duration,
    /// The longest pause between events of a stream that counts as on time.
    pub event_gap_objective: Option<Duration>,
    /// Back ends that one request may be sent to.
    pub max_attempts: u32,
    /// Its rank among routes; 0 is the highest.
    pub priority: u8,
    /// Whether callers need no key.
    pub public: bool,
    /// Where its requests go, by weight.
    pub targets: Vec<RouteTarget>,
}

/// A service that a route leads to.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RouteTarget {
    /// The service's name.
    pub service: String,
    /// Its share of the requests, relative to the other targets.
    pub weight: u32,
}

/// What of a route's requests may be repeated.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Default)]
pub enum RouteKind {
    /// The whole request, any number of times.
    Idempotent,
    /// Nothing.
    #[default]
    Unrepeatable,
    /// Nothing, but the answer comes event by event.
    Stream,
    /// The rest of a stream, from the last whole event on.
    ResumableStream,
}

impl RouteKind {
    /// Whether the answer comes event by event.
    #[must_use]
    pub const fn is_stream(self) -> bool {
        matches!(self, Self::Stream | Self::ResumableStream)
    }
}

impl IngressRoute {
    /// A route to nowhere yet, whose requests may not be repeated.
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

    /// The service for a request; `draw` is any number that spreads requests evenly.
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
    /// Sorts routes for look-ups.
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

    /// The route with the longest prefix of `path` at this host.
    #[must_use]
    pub fn find(&self, host: &str, path: &str) -> Option<&IngressRoute> {
        self.hosts
            .get(host)?
            .iter()
            .find(|route| path.starts_with(&route.prefix))
    }

    /// All routes.
    pub fn routes(&self) -> impl Iterator<Item = &IngressRoute> {
        self.hosts.values().flatten()
    }
}
