//! Errors in the response of a backend server.

/// The reason why the response of a backend server is not complete or not valid.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum RelayError {
    /// One or more tokens are missing.
    #[error("the stream skips from token {expected} to token {found}")]
    Gap {
        /// Number of the next token in order.
        expected: u32,
        /// Number of the received token.
        found: u32,
    },
    /// The `id:` field of an event is not a number of tokens.
    #[error("an event's id is not a number of tokens")]
    InvalidId,
    /// An event exceeds the size limit.
    #[error("an event is larger than {limit} bytes")]
    TooLarge {
        /// Size limit of an event, in bytes.
        limit: usize,
    },
    /// Too many bytes arrived without a new event.
    #[error("no new event within {limit} bytes")]
    Idle {
        /// Maximum size of events without progress, in bytes.
        limit: usize,
    },
    /// An event with data follows the final event.
    #[error("an event follows the final one")]
    AfterEnd,
    /// The stream ended before the final event or within an event.
    #[error("the stream was cut after token {tokens}")]
    Truncated {
        /// Number of tokens that the caller has.
        tokens: u32,
    },
    /// The length of the body differs from its `content-length` header.
    #[error("the body has {found} bytes where its header says {expected}")]
    WrongLength {
        /// Length in the header, in bytes.
        expected: u64,
        /// Bytes received up to the error or the end of the body.
        found: u64,
    },
    /// The response has neither a content length nor chunked encoding.
    #[error("the response has neither a content length nor chunked encoding")]
    NoFraming,
}
