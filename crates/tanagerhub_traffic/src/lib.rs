//! Traffic decisions: admission, routing, retries and claims.
