//! What a request asks of an engine, and the answer that it must get.

use serde::Deserialize;
use serde_json::Value;
use xxhash_rust::xxh3::xxh3_64;

use crate::RequestId;

/// A body that holds this text crashes the engine that runs it.
pub const CRASH_MARKER: &str = "crash-the-engine";

/// The calls of the usual API of model servers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ModelApi {
    /// `POST /v1/chat/completions`.
    Chat,
    /// `POST /v1/completions`.
    Completion,
}

/// A request to a model, with an answer that depends on nothing but the request.
///
/// # Examples
///
/// ```
/// use tanagerhub_standins::{ModelApi, Prompt};
///
/// let body = br#"{"model": "advisor", "prompt": "Which size?", "max_tokens": 4}"#;
/// let prompt = Prompt::parse(body, ModelApi::Completion).unwrap();
/// assert_eq!(prompt.text(0..4).split_whitespace().count(), 4);
/// ```
#[derive(Debug, Clone)]
pub struct Prompt {
    /// The model that is wanted.
    pub model: String,
    /// The tokens of the prompt.
    pub prompt_tokens: u32,
    /// The tokens of the whole answer.
    pub tokens: u32,
    /// Whether the answer is streamed.
    pub stream: bool,
    /// Whether a stream ends with the token counts.
    pub usage: bool,
    /// The call that was made.
    pub api: ModelApi,
    /// The request's name, from the field `user`.
    pub request_id: RequestId,
    /// The text generated so far, when a stream is resumed.
    pub resume_text: Option<String>,
    /// Whether it crashes the engine.
    pub crashes: bool,
    hash: u64,
}

#[derive(Deserialize)]
struct Body {
    model: String,
    #[serde(default)]
    prompt: Value,
    #[serde(default)]
    messages: Value,
    #[serde(default = "default_tokens")]
    max_tokens: u32,
    #[serde(default)]
    stream: bool,
    #[serde(default)]
    stream_options: StreamOptions,
    #[serde(default)]
    user: String,
    resume_text: Option<String>,
}

#[derive(Default, Deserialize)]
struct StreamOptions {
    #[serde(default)]
    include_usage: bool,
}

const fn default_tokens() -> u32 {
    16
}

impl Prompt {
    /// Reads a request's body.
    ///
    /// # Errors
    ///
    /// Returns the mistake when the body is not a request in JSON.
    pub fn parse(body: &[u8], api: ModelApi) -> serde_json::Result<Self> {
        let text = String::from_utf8_lossy(body);
        let crashes = text.contains(CRASH_MARKER);
        let body: Body = serde_json::from_slice(body)?;
        let content = match api {
            ModelApi::Chat => &body.messages,
            ModelApi::Completion => &body.prompt,
        };
        let content = content.to_string();
        let hash = xxh3_64(content.as_bytes());
        Ok(Self {
            prompt_tokens: u32::try_from(content.split_whitespace().count()).unwrap_or(u32::MAX),
            model: body.model,
            tokens: body.max_tokens.max(1),
            stream: body.stream,
            usage: body.stream_options.include_usage,
            api,
            request_id: RequestId(body.user),
            resume_text: body.resume_text,
            crashes,
            hash,
        })
    }

    /// The token at this place of the answer.
    #[must_use]
    pub fn token(&self, index: u32) -> String {
        let mut seed = [0; 12];
        seed[..8].copy_from_slice(&self.hash.to_le_bytes());
        seed[8..].copy_from_slice(&index.to_le_bytes());
        format!(" {:04x}", xxh3_64(&seed) & 0xffff)
    }

    /// The text of a range of tokens.
    #[must_use]
    pub fn text(&self, indices: std::ops::Range<u32>) -> String {
        indices.map(|index| self.token(index)).collect()
    }
}
