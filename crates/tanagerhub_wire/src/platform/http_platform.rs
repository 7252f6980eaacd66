//! The client of the platform over HTTP.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use async_std::net::TcpStream;
use futures_lite::AsyncReadExt;
use http_types::headers::{CONNECTION, TRANSFER_ENCODING};
use http_types::{Method, Request, Response, StatusCode, Url};
use serde::de::DeserializeOwned;
use serde_json::value::RawValue;
use tanagerhub_catalogue::Vm;
use tanagerhub_clock::Clock;
use tanagerhub_table::{CommitOutcome, Row, Transaction};

use crate::platform::{BoxFuture, ObjectName, Platform, PlatformError, ReadRows};

/// The maximum length of a response.
const MAX_RESPONSE_BYTES: u64 = 64 * 1024 * 1024;

/// Calls the platform over HTTP, each call on a new connection.
///
/// A call on a reused connection would be lost if that connection is dead without having been
/// closed.
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
    timeout: Duration,
    counts: Counts,
}

#[derive(Debug, Default)]
struct Counts {
    reads: AtomicU64,
    writes: AtomicU64,
    failures: AtomicU64,
    rate_limited: AtomicU64,
}

/// Counters of calls to the platform since the start of the process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct PlatformCalls {
    /// Reads of rows, of objects and of the list of VMs.
    pub reads: u64,
    /// Commits of transactions and writes of objects.
    pub writes: u64,
    /// Calls without a usable response.
    pub failures: u64,
    /// Calls refused because of the platform's rate limit.
    pub rate_limited: u64,
}

/// Why a call has no response.
#[derive(Debug)]
enum CallError {
    /// No byte of the call was sent.
    NotSent(String),
    /// The call was sent and may have been applied.
    NoResponse(String),
}

/// A response that was read to its end.
#[derive(Debug)]
struct PlatformResponse {
    status: StatusCode,
    body: Vec<u8>,
}

impl HttpPlatform {
    /// The default timeout of a call.
    pub const DEFAULT_TIMEOUT: Duration = Duration::from_secs(2);

    /// Creates a client of the platform at this address, with the default timeout.
    #[must_use]
    pub fn new(address: SocketAddr, clock: Clock) -> Self {
        Self {
            address,
            clock,
            timeout: Self::DEFAULT_TIMEOUT,
            counts: Counts::default(),
        }
    }

    /// Returns the client with this timeout for each call, connecting included.
    #[must_use]
    pub const fn timeout(mut self, timeout: Duration) -> Self {
        self.timeout = timeout;
        self
    }

    /// Returns the counters of calls.
    #[must_use]
    pub fn calls(&self) -> PlatformCalls {
        let counts = &self.counts;
        PlatformCalls {
            reads: counts.reads.load(Ordering::Relaxed),
            writes: counts.writes.load(Ordering::Relaxed),
            failures: counts.failures.load(Ordering::Relaxed),
            rate_limited: counts.rate_limited.load(Ordering::Relaxed),
        }
    }

    async fn call(
        &self,
        method: Method,
        path: &str,
        body: Vec<u8>,
    ) -> Result<PlatformResponse, CallError> {
        let response = self.call_with_timeout(method, path, body).await;
        match &response {
            Ok(response) if response.status == StatusCode::TooManyRequests => {
                self.counts.rate_limited.fetch_add(1, Ordering::Relaxed);
            }
            Ok(_) => {}
            Err(_) => {
                self.counts.failures.fetch_add(1, Ordering::Relaxed);
            }
        }
        response
    }

    async fn call_with_timeout(
        &self,
        method: Method,
        path: &str,
        body: Vec<u8>,
    ) -> Result<PlatformResponse, CallError> {
        let start = self.clock.now();
        let connect = TcpStream::connect(self.address);
        let stream = match self.clock.timeout(self.timeout, connect).await {
            Some(Ok(stream)) => stream,
            Some(Err(error)) => return Err(CallError::NotSent(error.to_string())),
            None => return Err(CallError::NotSent("connecting took too long".to_owned())),
        };
        let request = self.request(method, path, body)?;
        let remaining = self.timeout.saturating_sub(self.clock.now().since(start));
        match self
            .clock
            .timeout(remaining, Box::pin(exchange(stream, request)))
            .await
        {
            Some(Ok(response)) => Ok(response),
            Some(Err(error)) => Err(CallError::NoResponse(error.to_string())),
            None => Err(CallError::NoResponse(
                "the response took too long".to_owned(),
            )),
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
            Ok(response) => outcome(&response),
            Err(CallError::NotSent(_)) => CommitOutcome::NotApplied,
            Err(CallError::NoResponse(_)) => CommitOutcome::Unknown,
        }
    }

    async fn get(
        &self,
        method: Method,
        path: &str,
        body: Vec<u8>,
    ) -> Result<PlatformResponse, PlatformError> {
        self.counts.reads.fetch_add(1, Ordering::Relaxed);
        Ok(self.call(method, path, body).await?)
    }

    async fn put_over_http(&self, content: Vec<u8>) -> Result<ObjectName, PlatformError> {
        self.counts.writes.fetch_add(1, Ordering::Relaxed);
        let name = ObjectName::of(&content);
        let path = format!("/objects/{name}");
        let response = self.call(Method::Put, &path, content).await?;
        response.success()?;
        Ok(name)
    }

    async fn fetch(&self, name: ObjectName) -> Result<Vec<u8>, PlatformError> {
        let path = format!("/objects/{name}");
        let response = self.get(Method::Get, &path, Vec::new()).await?;
        if response.status == StatusCode::NotFound {
            return Err(PlatformError::NoObject { name });
        }
        let content = response.success()?;
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
        let response = self.get(Method::Post, "/table/read", body).await?;
        response.json(call)
    }

    async fn list_vms(&self) -> Result<Vec<Vm>, PlatformError> {
        let response = self.get(Method::Get, "/vms", Vec::new()).await?;
        let entries: Vec<Box<RawValue>> = response.json("GET /vms")?;
        Ok(entries.iter().filter_map(|entry| vm(entry)).collect())
    }
}

impl Platform for HttpPlatform {
    fn commit(&self, transaction: Transaction) -> BoxFuture<'_, CommitOutcome> {
        Box::pin(async move { self.commit_over_http(&transaction).await })
    }

    fn read(&self, rows: ReadRows) -> BoxFuture<'_, Result<Vec<Row>, PlatformError>> {
        Box::pin(async move { self.read_over_http(&rows).await })
    }

    fn put_object(&self, content: Vec<u8>) -> BoxFuture<'_, Result<ObjectName, PlatformError>> {
        Box::pin(self.put_over_http(content))
    }

    fn get_object(&self, name: ObjectName) -> BoxFuture<'_, Result<Vec<u8>, PlatformError>> {
        Box::pin(self.fetch(name))
    }

    fn vms(&self) -> BoxFuture<'_, Result<Vec<Vm>, PlatformError>> {
        Box::pin(self.list_vms())
    }
}

impl PlatformResponse {
    fn success(self) -> Result<Vec<u8>, PlatformError> {
        match self.status {
            status if status.is_success() => Ok(self.body),
            StatusCode::TooManyRequests => Err(PlatformError::RateLimited),
            status => Err(PlatformError::Unavailable {
                reason: format!("the response has status {status}"),
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
        let (CallError::NotSent(reason) | CallError::NoResponse(reason)) = error;
        Self::Unavailable { reason }
    }
}

/// Decodes an entry of the list; an invalid one names no VM, and must not hide the others.
fn vm(entry: &RawValue) -> Option<Vm> {
    let vm = serde_json::from_str(entry.get());
    vm.inspect_err(|error| log::warn!(error:%; "invalid entry of the list of VMs ignored"))
        .ok()
}

fn malformed(call: &'static str, error: &serde_json::Error) -> PlatformError {
    PlatformError::Malformed {
        call,
        reason: error.to_string(),
    }
}

/// Returns the outcome of a commit by its response; it is unknown unless the response is explicit.
fn outcome(response: &PlatformResponse) -> CommitOutcome {
    match response.status {
        StatusCode::TooManyRequests | StatusCode::ServiceUnavailable => CommitOutcome::NotApplied,
        StatusCode::Ok => serde_json::from_slice(&response.body).unwrap_or(CommitOutcome::Unknown),
        _ => CommitOutcome::Unknown,
    }
}

async fn exchange(stream: TcpStream, request: Request) -> http_types::Result<PlatformResponse> {
    stream.set_nodelay(true)?;
    let response = async_h1::connect(stream, request).await?;
    read_complete(response).await
}

/// Reads a body to its announced end.
///
/// `async-h1` reports a truncated body as complete and a body without framing as empty, so both are
/// checked here.
async fn read_complete(mut response: Response) -> http_types::Result<PlatformResponse> {
    let status = response.status();
    let length = response.len();
    let framed = length.is_some_and(|length| length > 0 || has_length(&response));
    if status == StatusCode::NoContent {
        return Ok(PlatformResponse {
            status,
            body: Vec::new(),
        });
    }
    if !framed && response.header(TRANSFER_ENCODING).is_none() {
        return Err(http_types::format_err!(
            "the response has neither a length nor chunks"
        ));
    }
    let mut body = Vec::new();
    let reader = response.take_body().into_reader();
    reader
        .take(MAX_RESPONSE_BYTES + 1)
        .read_to_end(&mut body)
        .await?;
    if body.len() as u64 > MAX_RESPONSE_BYTES {
        return Err(http_types::format_err!("the response is too long"));
    }
    match length {
        Some(length) if framed && body.len() != length => Err(http_types::format_err!(
            "the response ends after {} of {length} bytes",
            body.len()
        )),
        _ => Ok(PlatformResponse { status, body }),
    }
}

fn has_length(response: &Response) -> bool {
    response
        .header(http_types::headers::CONTENT_LENGTH)
        .is_some()
}
