//! The bearer token that authorises operators.

use std::fmt;

use tanagerhub_catalogue::KeyHash;

use crate::callers::bearer;

/// The operators' bearer token, stored as a hash.
#[derive(Clone, Copy)]
pub struct OperatorToken(KeyHash);

impl OperatorToken {
    /// Creates a token from its text.
    ///
    /// # Examples
    ///
    /// ```
    /// use tanagerhub_wire::operators::OperatorToken;
    ///
    /// let token = OperatorToken::new("s3cret");
    /// assert!(token.authorises(b"Bearer s3cret"));
    /// assert!(!token.authorises(b"Bearer guess"));
    /// ```
    #[must_use]
    pub fn new(token: &str) -> Self {
        Self(KeyHash::of(token))
    }

    /// Returns whether an `Authorization` header contains this token. The comparison takes constant
    /// time.
    #[must_use]
    pub fn authorises(&self, authorization: &[u8]) -> bool {
        bearer(authorization).is_some_and(|token| KeyHash::of(token).matches(&self.0))
    }
}

impl From<KeyHash> for OperatorToken {
    fn from(hash: KeyHash) -> Self {
        Self(hash)
    }
}

impl fmt::Debug for OperatorToken {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("OperatorToken(..)")
    }
}
