//! A request to a back end.

use std::time::Duration;

use ::http::{HeaderMap, HeaderName, HeaderValue, Method};
use bytes::Bytes;

/// A request to a back end.
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
    /// Headers; those of a single connection are left out when it is sent.
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
    /// Which connections it may use.
    pub connection: ConnectionRule,
    /// How long each step may take.
    pub timeouts: Timeouts,
}

impl BackendRequest {
    /// Makes a request without body and headers.
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

    /// Sets the body.
    #[must_use]
    pub fn body(mut self, body: impl Into<Bytes>) -> Self {
        self.body = body.into();
        self
    }

    /// Sets a header.
    #[must_use]
    pub fn header(mut self, name: HeaderName, value: HeaderValue) -> Self {
        self.headers.insert(name, value);
        self
    }

    /// Sets all headers.
    #[must_use]
    pub fn headers(mut self, headers: HeaderMap) -> Self {
        self.headers = headers;
        self
    }

    /// Sets which connections the request may use.
    #[must_use]
    pub const fn connection(mut self, rule: ConnectionRule) -> Self {
        self.connection = rule;
        self
    }

    /// Sets how long each step may take.
    #[must_use]
    pub const fn timeouts(mut self, timeouts: Timeouts) -> Self {
        self.timeouts = timeouts;
        self
    }
}

/// Which connections a request may use.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Default)]
pub enum ConnectionRule {
    /// Any open one, or a new one.
    #[default]
    Pooled,
    /// A new one, or one that gave a whole answer a moment ago.
    Proven,
    /// A new one.
    Fresh,
}

/// How long each step of a call may take.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Timeouts {
    /// Until the connection is open.
    pub connect: Duration,
    /// From the first byte sent until the head of the answer is there.
    pub first_byte: Duration,
    /// Between two parts of the body.
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
