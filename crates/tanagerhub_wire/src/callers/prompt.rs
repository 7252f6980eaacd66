//! Computes the properties of a prompt that routing uses: its prefix hashes and its length.

use bytes::Bytes;
use serde::Deserialize;
use serde_json::{Map, Value};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// The length of a hashed block of the prompt.
pub const BLOCK_BYTES: usize = 256;
/// The maximum number of blocks that are hashed.
pub const MAX_PREFIX_BLOCKS: usize = 64;
/// The average length of a token, by which the length of a prompt is estimated.
const BYTES_PER_TOKEN: usize = 4;

/// The fields of a completion request that a node reads.
#[derive(Debug, Deserialize)]
pub(crate) struct CompletionBody {
    pub(crate) model: String,
    #[serde(default)]
    pub(crate) stream: Option<bool>,
    #[serde(default)]
    pub(crate) max_tokens: Option<u32>,
    #[serde(default)]
    pub(crate) max_completion_tokens: Option<u32>,
    #[serde(default)]
    messages: Vec<Message>,
    #[serde(default)]
    prompt: Option<Content>,
}

#[derive(Debug, Deserialize)]
struct Message {
    #[serde(default)]
    role: String,
    #[serde(default)]
    content: Option<Content>,
}

#[derive(Debug, Deserialize)]
#[serde(untagged)]
enum Content {
    Text(String),
    Other(Value),
}

impl CompletionBody {
    /// Returns the prompt's bytes, in the order in which an engine reads them.
    pub(crate) fn prompt(&self) -> Vec<u8> {
        let mut bytes = Vec::new();
        for message in &self.messages {
            bytes.extend_from_slice(message.role.as_bytes());
            bytes.push(b'\n');
            push_content(&mut bytes, message.content.as_ref());
        }
        push_content(&mut bytes, self.prompt.as_ref());
        bytes
    }

    /// Returns whether the request has chat messages.
    pub(crate) const fn has_messages(&self) -> bool {
        !self.messages.is_empty()
    }

    /// Returns whether the request has a text prompt.
    pub(crate) const fn has_prompt(&self) -> bool {
        self.prompt.is_some()
    }
}

fn push_content(bytes: &mut Vec<u8>, content: Option<&Content>) {
    match content {
        Some(Content::Text(text)) => bytes.extend_from_slice(text.as_bytes()),
        Some(Content::Other(value)) => bytes.extend_from_slice(value.to_string().as_bytes()),
        None => {}
    }
}

/// Returns the hashes of the full blocks at the start of a prompt, each seeded with the one before.
pub(crate) fn prefix_hashes(prompt: &[u8]) -> Vec<u64> {
    let hash = |seed: &mut u64, block: &[u8]| {
        *seed = xxh3_64_with_seed(block, *seed);
        Some(*seed)
    };
    prompt
        .chunks_exact(BLOCK_BYTES)
        .take(MAX_PREFIX_BLOCKS)
        .scan(0, hash)
        .collect()
}

/// Estimates the length of a prompt in tokens, rounded up.
pub(crate) fn estimate_tokens(prompt: &[u8]) -> u32 {
    u32::try_from(prompt.len().div_ceil(BYTES_PER_TOKEN)).unwrap_or(u32::MAX)
}

/// Returns the body that makes an engine continue after `text`, or `None` when `body` is not a JSON
/// object.
///
/// # Examples
///
/// ```
/// use tanagerhub_wire::callers::resume_body;
///
/// let body = resume_body(br#"{"model":"advisor"}"#, "Size").unwrap();
/// assert_eq!(body, r#"{"model":"advisor","resume_text":"Size"}"#);
/// ```
#[must_use]
pub fn resume_body(body: &[u8], text: &str) -> Option<Bytes> {
    let mut fields: Map<String, Value> = serde_json::from_slice(body).ok()?;
    fields.insert("resume_text".to_owned(), text.into());
    serde_json::to_vec(&fields).ok().map(Bytes::from)
}
