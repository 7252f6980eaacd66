//! The calls of the public API.

use ::http::Method;

/// A call of the public API.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Call {
    /// `GET /v1/models`.
    ListModels,
    /// A completion by a model.
    Model(ModelCall),
    /// A call of a plain service.
    Service(ServiceCall),
}

/// The API by which a completion is requested.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Endpoint {
    /// `POST /v1/chat/completions`.
    Chat,
    /// `POST /v1/completions`.
    Text,
}

impl Endpoint {
    /// Returns the path, which is the same at nodes and engines.
    #[must_use]
    pub const fn path(self) -> &'static str {
        match self {
            Self::Chat => "/v1/chat/completions",
            Self::Text => "/v1/completions",
        }
    }
}

/// A completion requested by a caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ModelCall {
    /// The name of the catalogue entry, from the field `model`.
    pub entry: String,
    /// The API that was called.
    pub endpoint: Endpoint,
    /// Whether the response is a stream of server-sent events.
    pub stream: bool,
    /// The maximum length of the completion, in tokens.
    pub max_tokens: Option<u32>,
    /// Hashes of the prompt's first blocks; each also covers all blocks before it.
    pub prefix: Vec<u64>,
    /// The estimated length of the prompt, in tokens.
    pub prompt_tokens: u32,
}

/// A call of a plain service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServiceCall {
    /// The name of the catalogue entry, from the path.
    pub entry: String,
    /// The HTTP method, which is forwarded unchanged.
    pub method: Method,
    /// The path below the service, starting with `/`, without the query.
    pub path: String,
    /// The query, without the question mark.
    pub query: Option<String>,
}

impl ServiceCall {
    /// Returns the path and query of the request to the service.
    #[must_use]
    pub fn target(&self) -> String {
        match &self.query {
            Some(query) => format!("{}?{query}", self.path),
            None => self.path.clone(),
        }
    }
}
