//! The platform over HTTP.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use async_std::net::TcpStream;
use futures_lite::AsyncReadExt;
use http_types::headers::{CONNECTION, TRANSFER_ENCODING};
use http_types::{Method, Request, Response, StatusCode, Url};
use serde::de::DeserializeOwned;
use tanagerhub_catalogue::Vm;
use tanagerhub_clock::Clock;
use tanagerhub_table::{CommitOutcome, Row, Transaction};

use crate::platform::{ObjectName, Pending, Platform, PlatformError, ReadRows};

/// The longest answer that is read, in bytes.
const MAX_ANSWER: u64 = 64 * 1024 * 1024;

/// Calls the platform over HTTP, each call on a connection of its own.
///
/// A call on a new connection can't be swallowed by an old one that has gone silent.
///
/// # Examples
///
/// ```
/// use tanagerhub_clock::Clock;
/// use tanagerhub_wire::platform::HttpPlatform;
///
/// let address = "127.0.0.1:9000".parse().unwrap();
/// let platform = HttpPlatform::new(address, Clock::real());
/// assert_eq!(platform.calls().writes, 0);
/// ```
#[derive(Debug)]
pub struct HttpPlatform {
    address: SocketAddr,
    clock: Clock,
    limit: Duration,
    counts: Counts,
}

#[derive(Debug, Default)]
struct Counts {
    reads: AtomicU64,
    writes: AtomicU64,
    failures: AtomicU64,
    limited: AtomicU64,
}

/// How often the platform was called since the start.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct PlatformCalls {
    /// Reads of rows, objects and the list of VMs.
    pub reads: u64,
    /// Transactions and stored objects.
    pub writes: u64,
    /// Calls without an answer that can be used.
    pub failures: u64,
    /// Calls that the rate limit refused.
    pub limited: u64,
}

/// Why a call has no answer.
#[derive(Debug)]
enum CallError {
    /// No byte of it left the process.
    NotSent(String),
    /// It was sent, and may have taken effect.
    Lost(String),
}

/// An answer that was read to its end.
#[derive(Debug)]
struct Answer {
    status: StatusCode,
    body: Vec<u8>,
}

impl HttpPlatform {
    /// How long a call may take unless [`Self::limit`] says otherwise.
    pub const DEFAULT_LIMIT: Duration = Duration::from_secs(2);

    /// A client of the platform at this address.
    #[must_use]
    pub fn new(address: SocketAddr, clock: Clock) -> Self {
        Self {
            address,
            clock,
            limit: Self::DEFAULT_LIMIT,
            counts: Counts::default(),
        }
    }

    /// Sets how long a call may take.
    #[must_use]
    pub const fn limit(mut self, limit: Duration) -> Self {
        self.limit = limit;
        self
    }

    /// How often the platform was called.
    #[must_use]
    pub fn calls(&self) -> PlatformCalls {
        let counts = &self.counts;
        PlatformCalls {
            reads: counts.reads.load(Ordering::Relaxed),
            writes: counts.writes.load(Ordering::Relaxed),
            failures: counts.failures.load(Ordering::Relaxed),
            limited: counts.limited.load(Ordering::Relaxed),
        }
    }

    async fn call(&self, method: Method, path: &str, body: Vec<u8>) -> Result<Answer, CallError> {
        let answer = self.call_in_time(method, path, body).await;
        match &answer {
            Ok(answer) if answer.status == StatusCode::TooManyRequests => {
                self.counts.limited.fetch_add(1, Ordering::Relaxed);
            }
            Ok(_) => {}
            Err(_) => {
                self.counts.failures.fetch_add(1, Ordering::Relaxed);
            }
        }
        answer
    }

    async fn call_in_time(
        &self,
        method: Method,
        path: &str,
        body: Vec<u8>,
    ) -> Result<Answer, CallError> {
        let start = self.clock.now();
        let connect = TcpStream::connect(self.address);
        let stream = match self.clock.timeout(self.limit, connect).await {
            Some(Ok(stream)) => stream,
            Some(Err(error)) => return Err(CallError::NotSent(error.to_string())),
            None => return Err(CallError::NotSent("connecting took too long".to_owned())),
        };
        let request = self.request(method, path, body)?;
        let left = self.limit.saturating_sub(self.clock.now().since(start));
        match self
            .clock
            .timeout(left, Box::pin(exchange(stream, request)))
            .await
        {
            Some(Ok(answer)) => Ok(answer),
            Some(Err(error)) => Err(CallError::Lost(error.to_string())),
            None => Err(CallError::Lost("the answer took too long".to_owned())),
        }
    }

    fn request(&self, method: Method, path: &str, body: Vec<u8>) -> Result<Request, CallError> {
        let url = Url::parse(&format!("http://{}{path}", self.address))
            .map_err(|error| CallError::NotSent(error.to_string()))?;
        let mut request = Request::new(method, url);
        request.insert_header(CONNECTION, "close");
        request.set_body(body);
        Ok(request)
    }

    async fn commit_over_http(&self, transaction: &Transaction) -> CommitOutcome {
        self.counts.writes.fetch_add(1, Ordering::Relaxed);
        let Ok(body) = serde_json::to_vec(transaction) else {
            return CommitOutcome::NotApplied;
        };
        match self.call(Method::Post, "/table/commit", body).await {
            Ok(answer) => outcome(&answer),
            Err(CallError::NotSent(_)) => CommitOutcome::NotApplied,
            Err(CallError::Lost(_)) => CommitOutcome::Unknown,
        }
    }

    async fn get(
        &self,
        method: Method,
        path: &str,
        body: Vec<u8>,
    ) -> Result<Answer, PlatformError> {
        self.counts.reads.fetch_add(1, Ordering::Relaxed);
        Ok(self.call(method, path, body).await?)
    }

    async fn put_over_http(&self, content: Vec<u8>) -> Result<ObjectName, PlatformError> {
        self.counts.writes.fetch_add(1, Ordering::Relaxed);
        let name = ObjectName::of(&content);
        let path = format!("/objects/{name}");
        let answer = self.call(Method::Put, &path, content).await?;
        answer.success()?;
        Ok(name)
    }

    async fn fetch(&self, name: ObjectName) -> Result<Vec<u8>, PlatformError> {
        let path = format!("/objects/{name}");
        let answer = self.get(Method::Get, &path, Vec::new()).await?;
        if answer.status == StatusCode::NotFound {
            return Err(PlatformError::NoObject { name });
        }
        let content = answer.success()?;
        if ObjectName::of(&content) == name {
            Ok(content)
        } else {
            Err(PlatformError::Malformed {
                call: "GET /objects",
                reason: format!("the content of object {name} does not match its name"),
            })
        }
    }

    async fn read_over_http(&self, rows: &ReadRows) -> Result<Vec<Row>, PlatformError> {
        let call = "POST /table/read";
        let body = serde_json::to_vec(rows).map_err(|error| malformed(call, &error))?;
        let answer = self.get(Method::Post, "/table/read", body).await?;
        answer.json(call)
    }

    async fn list(&self) -> Result<Vec<Vm>, PlatformError> {
        let answer = self.get(Method::Get, "/vms", Vec::new()).await?;
        answer.json("GET /vms")
    }
}

impl Platform for HttpPlatform {
    fn commit(&self, transaction: Transaction) -> Pending<'_, CommitOutcome> {
        Box::pin(async move { self.commit_over_http(&transaction).await })
    }

    fn read(&self, rows: ReadRows) -> Pending<'_, Result<Vec<Row>, PlatformError>> {
        Box::pin(async move { self.read_over_http(&rows).await })
    }

    fn put_object(&self, content: Vec<u8>) -> Pending<'_, Result<ObjectName, PlatformError>> {
        Box::pin(self.put_over_http(content))
    }

    fn get_object(&self, name: ObjectName) -> Pending<'_, Result<Vec<u8>, PlatformError>> {
        Box::pin(self.fetch(name))
    }

    fn vms(&self) -> Pending<'_, Result<Vec<Vm>, PlatformError>> {
        Box::pin(self.list())
    }
}

impl Answer {
    fn success(self) -> Result<Vec<u8>, PlatformError> {
        match self.status {
            status if status.is_success() => Ok(self.body),
            StatusCode::TooManyRequests => Err(PlatformError::RateLimited),
            status => Err(PlatformError::Unavailable {
                reason: format!("the answer's status is {status}"),
            }),
        }
    }

    fn json<T: DeserializeOwned>(self, call: &'static str) -> Result<T, PlatformError> {
        let body = self.success()?;
        serde_json::from_slice(&body).map_err(|error| malformed(call, &error))
    }
}

impl From<CallError> for PlatformError {
    fn from(error: CallError) -> Self {
        let (CallError::NotSent(reason) | CallError::Lost(reason)) = error;
        Self::Unavailable { reason }
    }
}

fn malformed(call: &'static str, error: &serde_json::Error) -> PlatformError {
    PlatformError::Malformed {
        call,
        reason: error.to_string(),
    }
}

/// Judges an answer to a transaction; all but a clear answer is unknown.
fn outcome(answer: &Answer) -> CommitOutcome {
    match answer.status {
        StatusCode::TooManyRequests | StatusCode::ServiceUnavailable => CommitOutcome::NotApplied,
        StatusCode::Ok => serde_json::from_slice(&answer.body).unwrap_or(CommitOutcome::Unknown),
        _ => CommitOutcome::Unknown,
    }
}

async fn exchange(stream: TcpStream, request: Request) -> http_types::Result<Answer> {
    stream.set_nodelay(true)?;
    let response = async_h1::connect(stream, request).await?;
    read_whole(response).await
}

/// Reads a body to its announced end.
///
/// The library takes a body that was cut short for a whole one, and one without framing for an
/// empty one, so both are checked here.
async fn read_whole(mut response: Response) -> http_types::Result<Answer> {
    let status = response.status();
    let length = response.len();
    let framed = length.is_some_and(|length| length > 0 || has_length(&response));
    if status == StatusCode::NoContent {
        return Ok(Answer {
            status,
            body: Vec::new(),
        });
    }
    if !framed && response.header(TRANSFER_ENCODING).is_none() {
        return Err(http_types::format_err!("the answer's end is not marked"));
    }
    let mut body = Vec::new();
    let reader = response.take_body().into_reader();
    reader.take(MAX_ANSWER + 1).read_to_end(&mut body).await?;
    if body.len() as u64 > MAX_ANSWER {
        return Err(http_types::format_err!("the answer is too long"));
    }
    match length {
        Some(length) if framed && body.len() != length => Err(http_types::format_err!(
            "the answer ends after {} of {length} bytes",
            body.len()
        )),
        _ => Ok(Answer { status, body }),
    }
}

fn has_length(response: &Response) -> bool {
    response
        .header(http_types::headers::CONTENT_LENGTH)
        .is_some()
}
