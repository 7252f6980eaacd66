//! Keys by which callers name a request that they may send again.

use serde::{Deserialize, Serialize};

/// The longest key, in bytes.
const MAX_BYTES: usize = 255;

/// A caller's name for one request, from the header `Idempotency-Key`.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct IdempotencyKey(String);

impl IdempotencyKey {
    /// Takes a key of 1 to 255 visible ASCII characters; `None` for any other.
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

    /// The key's text.
    #[must_use]
    pub fn as_str(&self) -> &str {
        &self.0
    }
}
