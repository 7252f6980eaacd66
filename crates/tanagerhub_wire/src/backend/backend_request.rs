//! Requests to backend servers.

use std::time::Duration;

use ::http::{HeaderMap, HeaderName, HeaderValue, Method};
use bytes::Bytes;

/// A request to a backend server.
///
/// # Examples
///
/// ```
/// use http::Method;
/// use tanagerhub_wire::backend::{BackendRequest, ConnectionRule};
///
/// let request = BackendRequest::new(Method::POST, "/credits")
///     .body("{}")
///     .connection(ConnectionRule::Proven);
/// assert_eq!(request.path, "/credits");
/// ```
#[derive(Debug, Clone)]
pub struct BackendRequest {
    /// The HTTP method.
    pub method: Method,
    /// The path and query, starting with `/`.
    pub path: String,
    /// The headers; hop-by-hop headers are dropped when the request is sent.
    pub headers: HeaderMap,
    /// The complete body; it may be empty.
    pub body: Bytes,
    /// Which connections the request may use.
    pub connection: ConnectionRule,
    /// The timeouts of the steps.
    pub timeouts: Timeouts,
}

impl BackendRequest {
    /// Creates a request without headers and body, with the default timeouts.
    #[must_use]
    pub fn new(method: Method, path: impl Into<String>) -> Self {
        Self {
            method,
            path: path.into(),
            headers: HeaderMap::new(),
            body: Bytes::new(),
            connection: ConnectionRule::default(),
            timeouts: Timeouts::default(),
        }
    }

    /// Returns the request with this body.
    #[must_use]
    pub fn body(mut self, body: impl Into<Bytes>) -> Self {
        self.body = body.into();
        self
    }

    /// Returns the request with this header, which replaces one of the same name.
    #[must_use]
    pub fn header(mut self, name: HeaderName, value: HeaderValue) -> Self {
        self.headers.insert(name, value);
        self
    }

    /// Returns the request with these headers in place of all earlier ones.
    #[must_use]
    pub fn headers(mut self, headers: HeaderMap) -> Self {
        self.headers = headers;
        self
    }

    /// Returns the request with this rule for connections.
    #[must_use]
    pub const fn connection(mut self, rule: ConnectionRule) -> Self {
        self.connection = rule;
        self
    }

    /// Returns the request with these timeouts.
    #[must_use]
    pub const fn timeouts(mut self, timeouts: Timeouts) -> Self {
        self.timeouts = timeouts;
        self
    }
}

/// Which connections a request may use.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Default)]
pub enum ConnectionRule {
    /// Any idle connection, or a new one.
    #[default]
    Pooled,
    /// A new connection, or an idle one that delivered a complete response within
    /// [`PoolLimits::proven_age`](crate::backend::PoolLimits::proven_age).
    Proven,
    /// A new connection.
    Fresh,
}

/// The timeouts of the steps of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Timeouts {
    /// Until the connection is open. Not used for a pooled connection.
    pub connect: Duration,
    /// From the first byte sent until the head of the response has arrived.
    pub first_byte: Duration,
    /// Between two reads of the body.
    pub body_idle: Duration,
}

impl Default for Timeouts {
    fn default() -> Self {
        Self {
            connect: Duration::from_secs(1),
            first_byte: Duration::from_secs(10),
            body_idle: Duration::from_secs(10),
        }
    }
}
