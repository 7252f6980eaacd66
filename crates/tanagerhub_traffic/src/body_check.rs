//! Check of the length of a response body against its headers.

use crate::RelayError;

/// How the end of a body is determined.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Framing {
    /// By the `content-length` header, in bytes.
    Length(u64),
    /// By a final chunk, which the HTTP library checks.
    Chunked,
}

/// Counts a body's bytes against its framing.
///
/// # Examples
///
/// ```
/// use tanagerhub_traffic::{BodyCheck, Framing};
///
/// let mut check = BodyCheck::new(Framing::Length(5));
/// check.push(3)?;
/// assert!(check.end().is_err());
/// check.push(2)?;
/// assert!(check.end().is_ok());
/// assert!(check.push(1).is_err());
/// # Ok::<(), tanagerhub_traffic::RelayError>(())
/// ```
#[derive(Debug, Clone, Copy)]
pub struct BodyCheck {
    framing: Framing,
    received: u64,
}

impl Framing {
    /// Returns the framing of a response with this content length and transfer encoding.
    ///
    /// Chunked encoding takes precedence over a length.
    ///
    /// # Errors
    ///
    /// Fails when the response has neither a length nor chunked encoding.
    pub const fn from_headers(length: Option<u64>, chunked: bool) -> Result<Self, RelayError> {
        match (length, chunked) {
            (_, true) => Ok(Self::Chunked),
            (Some(length), false) => Ok(Self::Length(length)),
            (None, false) => Err(RelayError::NoFraming),
        }
    }
}

impl BodyCheck {
    /// Creates a check of a body of which no byte has been received.
    #[must_use]
    pub const fn new(framing: Framing) -> Self {
        Self {
            framing,
            received: 0,
        }
    }

    /// Counts received bytes.
    ///
    /// # Errors
    ///
    /// Fails when the body is longer than the header states.
    pub fn push(&mut self, bytes: usize) -> Result<(), RelayError> {
        let bytes = u64::try_from(bytes).unwrap_or(u64::MAX);
        self.received = self.received.saturating_add(bytes);
        match self.framing {
            Framing::Length(expected) if self.received > expected => Err(RelayError::WrongLength {
                expected,
                found: self.received,
            }),
            _ => Ok(()),
        }
    }

    /// Checks that the body may end here.
    ///
    /// # Errors
    ///
    /// Fails when the number of received bytes differs from the header.
    pub const fn end(&self) -> Result<(), RelayError> {
        match self.framing {
            Framing::Length(expected) if self.received != expected => {
                Err(RelayError::WrongLength {
                    expected,
                    found: self.received,
                })
            }
            _ => Ok(()),
        }
    }
}
