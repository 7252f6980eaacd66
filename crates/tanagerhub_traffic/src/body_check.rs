//! Whether a body is as long as its header says.

use crate::RelayError;

/// How a body's end is known.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Framing {
    /// By its length in bytes.
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
    /// The framing of an answer, from its headers.
    ///
    /// # Errors
    ///
    /// Fails when the answer says neither its length nor that it is chunked.
    pub const fn from_headers(length: Option<u64>, chunked: bool) -> Result<Self, RelayError> {
        match (length, chunked) {
            (_, true) => Ok(Self::Chunked),
            (Some(length), false) => Ok(Self::Length(length)),
            (None, false) => Err(RelayError::NoFraming),
        }
    }
}

impl BodyCheck {
    /// Starts before the first byte.
    #[must_use]
    pub const fn new(framing: Framing) -> Self {
        Self {
            framing,
            received: 0,
        }
    }

    /// Counts bytes that came.
    ///
    /// # Errors
    ///
    /// Fails when there are more than the header says.
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

    /// Takes in the end of the body.
    ///
    /// # Errors
    ///
    /// Fails when there are fewer bytes than the header says.
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
