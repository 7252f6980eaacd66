//! What crashes of backend servers are counted by.

use serde::Serialize;
use serde_with::serde_as;
use tanagerhub_catalogue::IdHex;

/// A request, or a part of prompts, that may crash the backend servers that run it.
#[serde_as]
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
pub enum CrashSubject {
    /// All requests with this fingerprint.
    #[serde(rename = "fingerprint")]
    Request(#[serde_as(as = "IdHex")] u64),
    /// All requests with this part in their prompts.
    #[serde(rename = "part")]
    Part(#[serde_as(as = "IdHex")] u64),
}
