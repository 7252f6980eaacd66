//! The limits of an HTTP server.

use std::time::Duration;

/// Limits on sizes and connections, and timeouts.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HttpLimits {
    /// The maximum number of open connections; a further one receives a 503 and is closed.
    pub max_connections: usize,
    /// The maximum length of a request's head, in bytes; at most 8,191, as `async-h1` rejects
    /// longer heads.
    pub max_head_bytes: usize,
    /// The maximum length of a request's body, in bytes.
    pub max_body_bytes: usize,
    /// How long a connection may stay open between requests.
    pub idle_timeout: Duration,
    /// How long a caller may take to send a head, from its first byte.
    pub head_timeout: Duration,
    /// How long a caller may take to send a body.
    pub body_timeout: Duration,
    /// How long a write of a response may wait for the caller to read.
    pub stall_timeout: Duration,
}

impl Default for HttpLimits {
    fn default() -> Self {
        Self {
            max_connections: 1_024,
            max_head_bytes: 8_191,
            max_body_bytes: 4 << 20,
            idle_timeout: Duration::from_mins(1),
            head_timeout: Duration::from_secs(10),
            body_timeout: Duration::from_secs(30),
            stall_timeout: Duration::from_secs(30),
        }
    }
}
