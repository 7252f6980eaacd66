//! A caller of the system, as tests and the demo need it.

mod judge;

use std::net::SocketAddr;
use std::str::FromStr;
use std::time::Duration;

use async_std::net::TcpStream;
use futures_lite::{AsyncBufReadExt, AsyncReadExt};
use http_types::{Method, Request, Response, StatusCode, Url};
use serde_json::{Value, json};
use tanagerhub_clock::{Clock, Moment};

use crate::{Fact, ModelApi, Outcome, Prompt, Recorder, Verdict, Work};

use judge::Judge;

/// The header in which nodes state the outcome of a refused request.
const OUTCOME: &str = "x-tanagerhub-outcome";

/// Sends requests to one node, and notes what it sent and got.
#[derive(Debug, Clone)]
pub struct Caller {
    node: SocketAddr,
    key: String,
    clock: Clock,
    recorder: Recorder,
    patience: Duration,
}

/// A question to a model.
#[derive(Debug, Clone)]
pub struct Question {
    /// The request's name in the log.
    pub work: Work,
    /// The model.
    pub model: String,
    /// What is asked.
    pub prompt: String,
    /// The tokens of the answer.
    pub tokens: u32,
}

impl Question {
    /// Asks a model for a few tokens; the prompt is the name.
    #[must_use]
    pub fn new(work: impl Into<String>, model: impl Into<String>) -> Self {
        let work = work.into();
        Self {
            prompt: format!("Which size fits {work}?"),
            work: Work(work),
            model: model.into(),
            tokens: 8,
        }
    }

    /// Asks for an answer of this length.
    #[must_use]
    pub const fn tokens(mut self, tokens: u32) -> Self {
        self.tokens = tokens;
        self
    }

    /// Asks this.
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
            "user": self.work.0,
        })
    }

    /// The answer that an engine must give.
    #[must_use]
    pub fn expected(&self) -> String {
        let body = self.body(false).to_string();
        Prompt::parse(body.as_bytes(), ModelApi::Chat)
            .map(|prompt| prompt.text(0..self.tokens))
            .unwrap_or_default()
    }
}

/// What a caller got.
#[derive(Debug, Clone)]
pub struct Reply {
    /// What became of the request.
    pub verdict: Verdict,
    /// The status, if an answer began.
    pub status: Option<u16>,
    /// The text, or the error.
    pub text: String,
    /// When to come back, in seconds.
    pub retry_after: Option<u64>,
    /// The time until the first byte of the body.
    pub first: Duration,
    /// The time until the end.
    pub total: Duration,
}

/// A node could not be reached at all.
#[derive(Debug, Clone, thiserror::Error)]
#[error("node {node} can't be reached: {reason}")]
pub struct Unreachable {
    /// The node.
    pub node: SocketAddr,
    /// What the system said.
    pub reason: String,
}

impl Caller {
    /// A caller of the node at this address, with this bearer key.
    #[must_use]
    pub fn new(node: SocketAddr, key: &str, recorder: Recorder, clock: Clock) -> Self {
        Self {
            node,
            key: key.to_owned(),
            clock,
            recorder,
            patience: Duration::from_mins(1),
        }
    }

    /// Calls another node.
    #[must_use]
    pub const fn at(mut self, node: SocketAddr) -> Self {
        self.node = node;
        self
    }

    /// Sets how long the caller waits for a whole answer.
    #[must_use]
    pub const fn patience(mut self, patience: Duration) -> Self {
        self.patience = patience;
        self
    }

    /// Asks for one JSON document.
    ///
    /// # Errors
    ///
    /// Returns an error when no connection could be made.
    pub async fn chat(&self, question: &Question) -> Result<Reply, Unreachable> {
        let request = self.model_request(question, false);
        let judge = Judge::Chat(question.expected());
        self.exchange(&question.work, request, judge).await
    }

    /// Asks for server-sent events, and reads them to the end.
    ///
    /// # Errors
    ///
    /// Returns an error when no connection could be made.
    pub async fn stream(&self, question: &Question) -> Result<Reply, Unreachable> {
        let request = self.model_request(question, true);
        let judge = Judge::Events(question.expected());
        self.exchange(&question.work, request, judge).await
    }

    /// Makes a booking, which may not be repeated.
    ///
    /// # Errors
    ///
    /// Returns an error when no connection could be made.
    pub async fn book(
        &self,
        service: &str,
        id: &str,
        key: Option<&str>,
    ) -> Result<Reply, Unreachable> {
        let path = format!("/services/{service}/bookings");
        let mut request = self.request(Method::Post, &path);
        request.set_body(json!({"id": id}).to_string());
        request.insert_header("content-type", "application/json");
        if let Some(key) = key {
            request.insert_header("idempotency-key", key);
        }
        let judge = Judge::Booking(id.to_owned());
        self.exchange(&Work(id.to_owned()), request, judge).await
    }

    /// Lists the items of a service, which may be repeated.
    ///
    /// # Errors
    ///
    /// Returns an error when no connection could be made.
    pub async fn items(&self, service: &str, work: &str) -> Result<Reply, Unreachable> {
        let path = format!("/services/{service}/items");
        let request = self.request(Method::Get, &path);
        self.exchange(&Work(work.to_owned()), request, Judge::Items)
            .await
    }

    fn model_request(&self, question: &Question, stream: bool) -> Request {
        let mut request = self.request(Method::Post, "/v1/chat/completions");
        request.set_body(question.body(stream).to_string());
        request.insert_header("content-type", "application/json");
        request
    }

    fn request(&self, method: Method, path: &str) -> Request {
        let mut url = Url::parse("http://node/").expect("the constant is a URL");
        url.set_path(path);
        // An address is always a host and a port.
        let _ = url.set_ip_host(self.node.ip());
        let _ = url.set_port(Some(self.node.port()));
        let mut request = Request::new(method, url);
        request.insert_header("authorization", format!("Bearer {}", self.key));
        request
    }

    async fn exchange(
        &self,
        work: &Work,
        request: Request,
        judge: Judge,
    ) -> Result<Reply, Unreachable> {
        let stream = self.connect().await?;
        self.recorder.note(Fact::Sent {
            work: work.clone(),
            node: self.node,
        });
        let start = self.clock.now();
        let reading = Box::pin(self.read(stream, request, judge, start));
        let read = self.clock.timeout(self.patience, reading).await;
        let mut reply = read.unwrap_or_else(|| Reply::lost("the answer took too long"));
        reply.total = self.clock.now().since(start);
        self.recorder.note(Fact::Answered {
            work: work.clone(),
            node: self.node,
            verdict: reply.verdict.clone(),
        });
        Ok(reply)
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
        judge: Judge,
        start: Moment,
    ) -> Reply {
        let mut response = match async_h1::connect(stream, request).await {
            Ok(response) => response,
            Err(error) => return Reply::lost(&error.to_string()),
        };
        let head = Head::of(&response);
        let mut body = Vec::new();
        let mut reader = response.take_body().into_reader();
        // Waits for the first byte without taking it.
        let begun = reader.fill_buf().await.is_ok();
        let first = self.clock.now().since(start);
        let ended = begun && reader.read_to_end(&mut body).await.is_ok();
        let whole = ended && head.length.is_none_or(|length| length == body.len());
        let mut reply = head.reply(&body, whole, &judge);
        reply.first = first;
        reply
    }
}

/// What the head of an answer says.
#[derive(Debug)]
struct Head {
    status: StatusCode,
    outcome: Outcome,
    retry_after: Option<u64>,
    length: Option<usize>,
}

impl Head {
    fn of(response: &Response) -> Self {
        let outcome = response
            .header(OUTCOME)
            .map(|value| Outcome::parse(value.as_str()));
        Self {
            status: response.status(),
            outcome: outcome.unwrap_or(Outcome::Unknown),
            retry_after: number(response, "retry-after"),
            length: number(response, "content-length"),
        }
    }

    fn reply(&self, body: &[u8], whole: bool, judge: &Judge) -> Reply {
        let (verdict, text) = if self.status.is_success() {
            judge.judge(body, whole)
        } else {
            let error = String::from_utf8_lossy(body).into_owned();
            (Verdict::Refused(self.outcome), error)
        };
        Reply {
            verdict,
            status: Some(self.status.into()),
            text,
            retry_after: self.retry_after,
            first: Duration::ZERO,
            total: Duration::ZERO,
        }
    }
}

fn number<T: FromStr>(response: &Response, name: &str) -> Option<T> {
    response.header(name)?.as_str().parse().ok()
}

impl Reply {
    fn lost(reason: &str) -> Self {
        Self {
            verdict: Verdict::Lost,
            status: None,
            text: reason.to_owned(),
            retry_after: None,
            first: Duration::ZERO,
            total: Duration::ZERO,
        }
    }

    /// Whether the whole answer came.
    #[must_use]
    pub fn is_whole(&self) -> bool {
        self.verdict == Verdict::Whole
    }
}
