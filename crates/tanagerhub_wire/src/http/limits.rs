//! What a server accepts.

use std::time::Duration;

/// Limits on sizes, connections and time.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HttpLimits {
    /// Open connections; one more gets a 503 and is closed.
    pub max_connections: usize,
    /// Bytes of a request's head; at most 8,191.
    pub max_head_bytes: usize,
    /// Bytes of a request's body.
    pub max_body_bytes: usize,
    /// How long a connection may stay open between requests.
    pub idle_timeout: Duration,
    /// How long a caller may take to send a head, from its first byte.
    pub head_timeout: Duration,
    /// How long a caller may take to send a body.
    pub body_timeout: Duration,
    /// How long a caller may leave an answer unread.
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
