//! What routing needs to know of a prompt.

use bytes::Bytes;
use serde::Deserialize;
use serde_json::{Map, Value};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// The length of a hashed block of the prompt, in bytes.
pub const BLOCK_BYTES: usize = 256;
/// The most blocks that are hashed.
pub const MAX_PREFIX_BLOCKS: usize = 64;
/// The usual length of a token, in bytes.
const BYTES_PER_TOKEN: usize = 4;

/// The fields of a completion request that a node looks at.
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
    /// The prompt's bytes, in the order in which an engine reads them.
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

    /// Whether there is a chat to complete.
    pub(crate) const fn has_messages(&self) -> bool {
        !self.messages.is_empty()
    }

    /// Whether there is a text to complete.
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

/// Hashes the whole blocks at the start of a prompt.
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

/// Estimates the length of a prompt, in tokens.
pub(crate) fn estimate_tokens(prompt: &[u8]) -> u32 {
    u32::try_from(prompt.len().div_ceil(BYTES_PER_TOKEN)).unwrap_or(u32::MAX)
}

/// The body that makes an engine go on after `text`; `None` when `body` is no JSON object.
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
