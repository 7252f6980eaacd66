//! What a server accepts.

use std::time::Duration;

/// Limits on sizes, connections and time.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HttpLimits {
    /// Open connections; one more gets a 503 and is closed.
    pub connections: usize,
    /// Bytes of a request's head; at most 8,191.
    pub head_bytes: usize,
    /// Bytes of a request's body.
    pub body_bytes: usize,
    /// How long a connection may stay open between requests.
    pub idle: Duration,
    /// How long a caller may take to send a head, from its first byte.
    pub head: Duration,
    /// How long a caller may take to send a body.
    pub body: Duration,
    /// How long a caller may leave an answer unread.
    pub stall: Duration,
}

impl Default for HttpLimits {
    fn default() -> Self {
        Self {
            connections: 1_024,
            head_bytes: 8_191,
            body_bytes: 4 << 20,
            idle: Duration::from_mins(1),
            head: Duration::from_secs(10),
            body: Duration::from_secs(30),
            stall: Duration::from_secs(30),
        }
    }
}
