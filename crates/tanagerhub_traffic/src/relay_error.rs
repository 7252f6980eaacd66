//! Why an answer is not whole.

/// Why an answer of a back end can't be passed on as a whole one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum RelayError {
    /// A token is missing.
    #[error("the stream skips from token {expected} to token {found}")]
    Gap {
        /// The token that should have come.
        expected: u32,
        /// The token that came.
        found: u32,
    },
    /// An event's id is not a number of tokens.
    #[error("an event's id is not a number of tokens")]
    InvalidId,
    /// An event is too large.
    #[error("an event is larger than {limit} bytes")]
    TooLarge {
        /// The most bytes allowed.
        limit: usize,
    },
    /// Something follows the final event.
    #[error("an event follows the final one")]
    AfterEnd,
    /// The stream ended before the final event.
    #[error("the stream was cut after token {tokens}")]
    Truncated {
        /// Tokens that were passed on.
        tokens: u32,
    },
    /// The body is shorter or longer than its header says.
    #[error("the body has {found} bytes where its header says {expected}")]
    WrongLength {
        /// Bytes by the header.
        expected: u64,
        /// Bytes that came, as far as they were counted.
        found: u64,
    },
    /// The answer says neither its length nor that it is chunked.
    #[error("the answer has neither a length nor chunks")]
    NoFraming,
}
