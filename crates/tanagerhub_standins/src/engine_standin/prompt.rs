//! Completion requests to an engine, and the text that it must generate for them.

use serde::Deserialize;
use serde_json::Value;
use xxhash_rust::xxh3::xxh3_64;

use crate::RequestId;

/// A request whose body contains this text crashes the engine that runs it.
pub const CRASH_MARKER: &str = "crash-the-engine";

/// The calls of the OpenAI-compatible API of model servers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ModelApi {
    /// `POST /v1/chat/completions`.
    Chat,
    /// `POST /v1/completions`.
    Completion,
}

/// A request to a model; the generated text depends on the request only.
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
    /// Name of the requested model.
    pub model: String,
    /// Number of tokens in the prompt, counted as words separated by white space.
    pub prompt_tokens: u32,
    /// Number of tokens in the complete response.
    pub tokens: u32,
    /// Whether the response is streamed.
    pub stream: bool,
    /// Whether a stream ends with an event of token counts.
    pub usage: bool,
    /// The call of the API.
    pub api: ModelApi,
    /// Id of the request, from the field `user`.
    pub request_id: RequestId,
    /// The text generated so far, when a stream is resumed.
    pub resume_text: Option<String>,
    /// Whether the body contains [`CRASH_MARKER`].
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
    /// Parses the body of a request.
    ///
    /// # Errors
    ///
    /// Returns an error when the body is not a valid JSON request.
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

    /// Returns the token at this index of the response, counted from 0.
    #[must_use]
    pub fn token(&self, index: u32) -> String {
        let mut seed = [0; 12];
        seed[..8].copy_from_slice(&self.hash.to_le_bytes());
        seed[8..].copy_from_slice(&index.to_le_bytes());
        format!(" {:04x}", xxh3_64(&seed) & 0xffff)
    }

    /// Returns the text of a range of tokens.
    #[must_use]
    pub fn text(&self, indices: std::ops::Range<u32>) -> String {
        indices.map(|index| self.token(index)).collect()
    }
}
