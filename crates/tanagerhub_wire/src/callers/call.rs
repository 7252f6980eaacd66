//! What a caller wants.

use ::http::Method;

/// What a caller wants.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Call {
    /// `GET /v1/models`.
    ListModels,
    /// A completion.
    Model(ModelCall),
    /// A call of a plain service.
    Service(ServiceCall),
}

/// Which of the two completion calls it is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Endpoint {
    /// `POST /v1/chat/completions`.
    Chat,
    /// `POST /v1/completions`.
    Text,
}

impl Endpoint {
    /// The path, which engines share.
    #[must_use]
    pub const fn path(self) -> &'static str {
        match self {
            Self::Chat => "/v1/chat/completions",
            Self::Text => "/v1/completions",
        }
    }
}

/// A completion that a caller wants.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ModelCall {
    /// The entry's name, from `model`.
    pub entry: String,
    /// Chat or plain text.
    pub endpoint: Endpoint,
    /// Whether the caller wants server-sent events.
    pub stream: bool,
    /// The longest answer that the caller wants, in tokens.
    pub max_tokens: Option<u32>,
    /// Hashes of the prompt's first blocks, each covering all bytes before it too.
    pub prefix: Vec<u64>,
    /// The estimated length of the prompt, in tokens.
    pub prompt_tokens: u32,
}

/// A call of a plain service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServiceCall {
    /// The entry's name, from the path.
    pub entry: String,
    /// The HTTP method.
    pub method: Method,
    /// The path below the service, starting with `/`, without the query.
    pub path: String,
    /// The query, without the question mark.
    pub query: Option<String>,
}

impl ServiceCall {
    /// The path and query to ask the service for.
    #[must_use]
    pub fn target(&self) -> String {
        match &self.query {
            Some(query) => format!("{}?{query}", self.path),
            None => self.path.clone(),
        }
    }
}
