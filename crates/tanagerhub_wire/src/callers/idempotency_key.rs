//! Keys that identify requests which callers may repeat.

use serde::{Deserialize, Serialize};

/// The maximum length of a key.
const MAX_BYTES: usize = 255;

/// A key that identifies one request of a caller, from the header `Idempotency-Key`.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct IdempotencyKey(String);

impl IdempotencyKey {
    /// Creates a key from 1 to 255 visible ASCII characters; returns `None` for any other text.
    ///
    /// # Examples
    ///
    /// ```
    /// use tanagerhub_wire::callers::IdempotencyKey;
    ///
    /// assert!(IdempotencyKey::new("booking-17").is_some());
    /// assert!(IdempotencyKey::new("").is_none());
    /// ```
    #[must_use]
    pub fn new(key: &str) -> Option<Self> {
        let fits = (1..=MAX_BYTES).contains(&key.len());
        let visible = key.bytes().all(|byte| byte.is_ascii_graphic());
        (fits && visible).then(|| Self(key.to_owned()))
    }

    /// Returns the key as text.
    #[must_use]
    pub fn as_str(&self) -> &str {
        &self.0
    }
}
