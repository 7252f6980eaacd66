//! A test caller, which sends requests to a node and checks the responses.

mod response_check;

use std::net::SocketAddr;
use std::str::FromStr;
use std::time::Duration;

use async_std::net::TcpStream;
use futures_lite::{AsyncBufReadExt, AsyncReadExt};
use http_types::{Method, Request, Response, StatusCode, Url};
use serde_json::{Value, json};
use tanagerhub_clock::{Clock, Moment};

use crate::{Event, ModelApi, Outcome, Prompt, Recorder, RequestId, Verdict};

use response_check::ResponseCheck;

/// Response header in which nodes state the outcome of a refused request.
const OUTCOME_HEADER: &str = "x-tanagerhub-outcome";

/// Sends requests to one node, and records what it sent and received.
#[derive(Debug, Clone)]
pub struct Caller {
    node: SocketAddr,
    key: String,
    clock: Clock,
    recorder: Recorder,
    timeout: Duration,
}

/// A request to a model.
#[derive(Debug, Clone)]
pub struct ChatRequest {
    /// Identifies the request in the log.
    pub request_id: RequestId,
    /// Name of the model.
    pub model: String,
    /// The prompt.
    pub prompt: String,
    /// Number of tokens to generate.
    pub tokens: u32,
}

impl ChatRequest {
    /// Creates a request for 8 tokens, whose prompt contains the request id.
    #[must_use]
    pub fn new(request_id: impl Into<String>, model: impl Into<String>) -> Self {
        let request_id = request_id.into();
        Self {
            prompt: format!("Which size fits {request_id}?"),
            request_id: RequestId(request_id),
            model: model.into(),
            tokens: 8,
        }
    }

    /// Sets the number of tokens to generate.
    #[must_use]
    pub const fn tokens(mut self, tokens: u32) -> Self {
        self.tokens = tokens;
        self
    }

    /// Sets the prompt.
    #[must_use]
    pub fn prompt(mut self, prompt: impl Into<String>) -> Self {
        self.prompt = prompt.into();
        self
    }

    fn body(&self, stream: bool) -> Value {
        json!({
            "model": self.model,
            "messages": [{"role": "user", "content": self.prompt}],
            "max_tokens": self.tokens,
            "stream": stream,
            "user": self.request_id.0,
        })
    }

    /// Returns the text that an engine must generate for this request.
    #[must_use]
    pub fn expected(&self) -> String {
        let body = self.body(false).to_string();
        Prompt::parse(body.as_bytes(), ModelApi::Chat)
            .map(|prompt| prompt.text(0..self.tokens))
            .unwrap_or_default()
    }
}

/// The result of one call.
#[derive(Debug, Clone)]
pub struct CallResult {
    /// The caller's verdict on the response.
    pub verdict: Verdict,
    /// The HTTP status; `None` with [`Verdict::Lost`].
    pub status: Option<u16>,
    /// The text of the response, or the error.
    pub text: String,
    /// Value of the `Retry-After` header, in seconds.
    pub retry_after_seconds: Option<u64>,
    /// Time from sending the request to the first byte of the body; zero with [`Verdict::Lost`].
    pub first_byte_time: Duration,
    /// Time from sending the request to the end of the response.
    pub total_time: Duration,
}

/// No connection to a node could be made.
#[derive(Debug, Clone, thiserror::Error)]
#[error("can't connect to node {node}: {reason}")]
pub struct Unreachable {
    /// The node's address for callers.
    pub node: SocketAddr,
    /// The error of the operating system.
    pub reason: String,
}

impl Caller {
    /// Creates a caller of the node at this address, which sends this bearer key.
    #[must_use]
    pub fn new(node: SocketAddr, key: &str, recorder: Recorder, clock: Clock) -> Self {
        Self {
            node,
            key: key.to_owned(),
            clock,
            recorder,
            timeout: Duration::from_mins(1),
        }
    }

    /// Sets the node to call.
    #[must_use]
    pub const fn with_node(mut self, node: SocketAddr) -> Self {
        self.node = node;
        self
    }

    /// Sets the timeout for a complete response; one minute by default.
    #[must_use]
    pub const fn timeout(mut self, timeout: Duration) -> Self {
        self.timeout = timeout;
        self
    }

    /// Requests a chat completion as one JSON document.
    ///
    /// # Errors
    ///
    /// Returns an error when no connection to the node can be made.
    pub async fn chat(&self, chat_request: &ChatRequest) -> Result<CallResult, Unreachable> {
        let request = self.model_request(chat_request, false);
        let check = ResponseCheck::Chat(chat_request.expected());
        self.exchange(&chat_request.request_id, request, check)
            .await
    }

    /// Requests a chat completion as server-sent events, and reads them to the end.
    ///
    /// # Errors
    ///
    /// Returns an error when no connection to the node can be made.
    pub async fn stream(&self, chat_request: &ChatRequest) -> Result<CallResult, Unreachable> {
        let request = self.model_request(chat_request, true);
        let check = ResponseCheck::EventStream(chat_request.expected());
        self.exchange(&chat_request.request_id, request, check)
            .await
    }

    /// Sends a booking, which is not repeatable; `key` is its `Idempotency-Key`.
    ///
    /// # Errors
    ///
    /// Returns an error when no connection to the node can be made.
    pub async fn book(
        &self,
        service: &str,
        id: &str,
        key: Option<&str>,
    ) -> Result<CallResult, Unreachable> {
        let path = format!("/services/{service}/bookings");
        let mut request = self.request(Method::Post, &path);
        request.set_body(json!({"id": id}).to_string());
        request.insert_header("content-type", "application/json");
        if let Some(key) = key {
            request.insert_header("idempotency-key", key);
        }
        let check = ResponseCheck::Booking(id.to_owned());
        self.exchange(&RequestId(id.to_owned()), request, check)
            .await
    }

    /// Lists the items of a service, which is a repeatable request.
    ///
    /// # Errors
    ///
    /// Returns an error when no connection to the node can be made.
    pub async fn items(&self, service: &str, request_id: &str) -> Result<CallResult, Unreachable> {
        let path = format!("/services/{service}/items");
        let request = self.request(Method::Get, &path);
        self.exchange(
            &RequestId(request_id.to_owned()),
            request,
            ResponseCheck::Items,
        )
        .await
    }

    fn model_request(&self, chat_request: &ChatRequest, stream: bool) -> Request {
        let mut request = self.request(Method::Post, "/v1/chat/completions");
        request.set_body(chat_request.body(stream).to_string());
        request.insert_header("content-type", "application/json");
        request
    }

    fn request(&self, method: Method, path: &str) -> Request {
        let mut url = Url::parse("http://node/").expect("the constant is a valid URL");
        url.set_path(path);
        // Setting the IP address and port of an HTTP URL can't fail.
        let _ = url.set_ip_host(self.node.ip());
        let _ = url.set_port(Some(self.node.port()));
        let mut request = Request::new(method, url);
        request.insert_header("authorization", format!("Bearer {}", self.key));
        request
    }

    async fn exchange(
        &self,
        request_id: &RequestId,
        request: Request,
        check: ResponseCheck,
    ) -> Result<CallResult, Unreachable> {
        let stream = self.connect().await?;
        self.recorder.record(Event::Sent {
            request_id: request_id.clone(),
            node: self.node,
        });
        let start = self.clock.now();
        let reading = Box::pin(self.read(stream, request, check, start));
        let read = self.clock.timeout(self.timeout, reading).await;
        let mut result = read.unwrap_or_else(|| CallResult::no_response("the response timed out"));
        result.total_time = self.clock.now().since(start);
        self.recorder.record(Event::Completed {
            request_id: request_id.clone(),
            node: self.node,
            verdict: result.verdict.clone(),
        });
        Ok(result)
    }

    async fn connect(&self) -> Result<TcpStream, Unreachable> {
        let unreachable = |error: std::io::Error| Unreachable {
            node: self.node,
            reason: error.to_string(),
        };
        let stream = TcpStream::connect(self.node).await.map_err(unreachable)?;
        stream.set_nodelay(true).map_err(unreachable)?;
        Ok(stream)
    }

    async fn read(
        &self,
        stream: TcpStream,
        request: Request,
        check: ResponseCheck,
        start: Moment,
    ) -> CallResult {
        let mut response = match async_h1::connect(stream, request).await {
            Ok(response) => response,
            Err(error) => return CallResult::no_response(&error.to_string()),
        };
        let head = ResponseHead::from_response(&response);
        let mut body = Vec::new();
        let mut reader = response.take_body().into_reader();
        // Waits for the first byte without consuming it.
        let started = reader.fill_buf().await.is_ok();
        let first_byte_time = self.clock.now().since(start);
        let finished = started && reader.read_to_end(&mut body).await.is_ok();
        let complete = finished && head.length.is_none_or(|length| length == body.len());
        let mut result = head.result(&body, complete, &check);
        result.first_byte_time = first_byte_time;
        result
    }
}

/// The status and the relevant headers of a response.
#[derive(Debug)]
struct ResponseHead {
    status: StatusCode,
    outcome: Outcome,
    retry_after_seconds: Option<u64>,
    length: Option<usize>,
}

impl ResponseHead {
    fn from_response(response: &Response) -> Self {
        let outcome = response
            .header(OUTCOME_HEADER)
            .map(|value| Outcome::parse(value.as_str()));
        Self {
            status: response.status(),
            outcome: outcome.unwrap_or(Outcome::Unknown),
            retry_after_seconds: numeric_header(response, "retry-after"),
            length: numeric_header(response, "content-length"),
        }
    }

    fn result(&self, body: &[u8], complete: bool, check: &ResponseCheck) -> CallResult {
        let (verdict, text) = if self.status.is_success() {
            check.check(body, complete)
        } else {
            let error = String::from_utf8_lossy(body).into_owned();
            (Verdict::Refused(self.outcome), error)
        };
        CallResult {
            verdict,
            status: Some(self.status.into()),
            text,
            retry_after_seconds: self.retry_after_seconds,
            first_byte_time: Duration::ZERO,
            total_time: Duration::ZERO,
        }
    }
}

fn numeric_header<T: FromStr>(response: &Response, name: &str) -> Option<T> {
    response.header(name)?.as_str().parse().ok()
}

impl CallResult {
    fn no_response(reason: &str) -> Self {
        Self {
            verdict: Verdict::Lost,
            status: None,
            text: reason.to_owned(),
            retry_after_seconds: None,
            first_byte_time: Duration::ZERO,
            total_time: Duration::ZERO,
        }
    }

    /// Returns whether the complete response to the request was received.
    #[must_use]
    pub fn is_complete(&self) -> bool {
        self.verdict == Verdict::Complete
    }
}
