//! A test operator, which calls a node's operator API.

use std::net::SocketAddr;

use async_std::net::TcpStream;
use http_types::{Method, Request, StatusCode, Url};
use serde::Deserialize;
use serde::de::DeserializeOwned;
use serde_json::{Value, json};
use tanagerhub_catalogue::{CatalogueVersion, Mark, VmId};
use tanagerhub_clock::Clock;

use crate::{Event, MarkTarget, Recorder};

/// Timeout of one call.
const CALL_TIMEOUT: std::time::Duration = std::time::Duration::from_secs(30);

/// Calls the operator port of one node, and records the changes that the node confirms.
#[derive(Debug, Clone)]
pub struct Operator {
    node: SocketAddr,
    token: String,
    clock: Clock,
    recorder: Recorder,
}

/// The result of a change.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
pub struct Change {
    /// The catalogue version that contains it.
    pub version: CatalogueVersion,
    /// Whether it is committed to the store.
    pub committed: bool,
    /// Whether it is in force at every node.
    pub in_force: bool,
    /// Names of the nodes at which it is not confirmed to be in force.
    pub missing: Vec<String>,
}

/// Why an operator's call failed.
#[derive(Debug, Clone, thiserror::Error)]
pub enum OperatorFailure {
    /// No valid response was received.
    #[error("no valid response from node {node}: {reason}")]
    NoResponse {
        /// The node's address for operators.
        node: SocketAddr,
        /// The cause.
        reason: String,
    },
    /// The node responded with an error status.
    #[error("node {node} responded with status {status}: {text}")]
    Refused {
        /// The node's address for operators.
        node: SocketAddr,
        /// The HTTP status.
        status: u16,
        /// The body of the response.
        text: String,
    },
}

impl Operator {
    /// Creates an operator of the node at this address, which sends this bearer token.
    #[must_use]
    pub fn new(node: SocketAddr, token: &str, recorder: Recorder, clock: Clock) -> Self {
        Self {
            node,
            token: token.to_owned(),
            clock,
            recorder,
        }
    }

    /// Returns the node's address for operators.
    #[must_use]
    pub const fn node(&self) -> SocketAddr {
        self.node
    }

    /// Returns whether the node reports itself ready, as the platform's load balancer checks it.
    pub async fn is_ready(&self) -> bool {
        self.ready().await.is_ok()
    }

    /// Requests the node's readiness, as the platform's load balancer does.
    ///
    /// # Errors
    ///
    /// Returns why the node is not ready, or why no response was received.
    pub async fn ready(&self) -> Result<(), OperatorFailure> {
        let response = self.send(Method::Get, "/ready", String::new()).await;
        response.map(drop)
    }

    /// Applies a catalogue, and waits until it is in force at every node.
    ///
    /// # Errors
    ///
    /// Returns the node's refusal, or why no response was received.
    pub async fn apply(&self, document: &str) -> Result<Change, OperatorFailure> {
        let path = "/v1/catalogue?wait=true";
        let change: Change = self.call(Method::Put, path, document.to_owned()).await?;
        self.record_accepted(&change);
        Ok(change)
    }

    /// Marks a data centre in or out of service.
    ///
    /// # Errors
    ///
    /// Returns the node's refusal, or why no response was received.
    pub async fn mark_data_centre(
        &self,
        name: &str,
        mark: Mark,
    ) -> Result<Change, OperatorFailure> {
        let mark_target = MarkTarget::DataCentre(name.to_owned());
        self.mark("data_centre", name, mark_target, mark).await
    }

    /// Marks a VM in or out of service.
    ///
    /// # Errors
    ///
    /// Returns the node's refusal, or why no response was received.
    pub async fn mark_vm(&self, name: &str, mark: Mark) -> Result<Change, OperatorFailure> {
        self.mark("vm", name, MarkTarget::Vm(VmId::of(name)), mark)
            .await
    }

    /// Returns the node's status, as JSON.
    ///
    /// # Errors
    ///
    /// Returns the node's refusal, or why no response was received.
    pub async fn status(&self) -> Result<Value, OperatorFailure> {
        self.call(Method::Get, "/v1/status", String::new()).await
    }

    /// Calls `GET` on a path, and returns the JSON response.
    ///
    /// # Errors
    ///
    /// Returns the node's refusal, or why no response was received.
    pub async fn get(&self, path: &str) -> Result<Value, OperatorFailure> {
        self.call(Method::Get, path, String::new()).await
    }

    /// Reads the catalogue version in force at the node, and records it.
    ///
    /// # Errors
    ///
    /// Returns the node's refusal, or why no response was received.
    pub async fn record_version(&self) -> Result<CatalogueVersion, OperatorFailure> {
        #[derive(Deserialize)]
        struct Status {
            version: CatalogueVersion,
        }
        let status: Status = self.call(Method::Get, "/v1/status", String::new()).await?;
        self.recorder.record(Event::InForce {
            node: self.node,
            version: status.version,
        });
        Ok(status.version)
    }

    async fn mark(
        &self,
        target: &str,
        name: &str,
        mark_target: MarkTarget,
        mark: Mark,
    ) -> Result<Change, OperatorFailure> {
        if mark == Mark::In {
            self.recorder.record(Event::MarkedIn(mark_target.clone()));
        }
        let body = json!({"target": target, "name": name, "mark": mark}).to_string();
        let change: Change = self.call(Method::Post, "/v1/marks", body).await?;
        if mark == Mark::Out && change.committed {
            self.recorder.record(Event::MarkedOut(mark_target));
        }
        self.record_accepted(&change);
        Ok(change)
    }

    /// Records that a change was accepted, if it is committed and in force.
    fn record_accepted(&self, change: &Change) {
        if change.committed && change.in_force {
            self.recorder.record(Event::Accepted {
                version: change.version,
            });
        }
    }

    async fn call<T: DeserializeOwned>(
        &self,
        method: Method,
        path: &str,
        body: String,
    ) -> Result<T, OperatorFailure> {
        let response = self.send(method, path, body).await?;
        serde_json::from_slice(&response).map_err(|error| self.no_response(&error))
    }

    async fn send(
        &self,
        method: Method,
        path: &str,
        body: String,
    ) -> Result<Vec<u8>, OperatorFailure> {
        let url = Url::parse(&format!("http://{}{path}", self.node))
            .map_err(|error| self.no_response(&error))?;
        let mut request = Request::new(method, url);
        request.set_body(body);
        request.insert_header("authorization", format!("Bearer {}", self.token));
        let exchange = Box::pin(exchange(self.node, request));
        let (status, response) = match self.clock.timeout(CALL_TIMEOUT, exchange).await {
            Some(response) => response.map_err(|error| self.no_response(&error))?,
            None => return Err(self.no_response(&"the call timed out")),
        };
        if status.is_success() {
            return Ok(response);
        }
        Err(OperatorFailure::Refused {
            node: self.node,
            status: status.into(),
            text: String::from_utf8_lossy(&response).into_owned(),
        })
    }

    fn no_response(&self, reason: &dyn ToString) -> OperatorFailure {
        OperatorFailure::NoResponse {
            node: self.node,
            reason: reason.to_string(),
        }
    }
}

async fn exchange(node: SocketAddr, request: Request) -> http_types::Result<(StatusCode, Vec<u8>)> {
    let stream = TcpStream::connect(node).await?;
    stream.set_nodelay(true)?;
    let mut response = async_h1::connect(stream, request).await?;
    let body = response.body_bytes().await?;
    Ok((response.status(), body))
}

/// Returns whether every entry of a node's status has at least `replicas_min` serving replicas.
///
/// # Examples
///
/// ```
/// use serde_json::json;
/// use tanagerhub_standins::all_entries_served;
///
/// let status = json!({"entries": [{"serving": 1, "replicas_min": 2}]});
/// assert!(!all_entries_served(&status));
/// ```
#[must_use]
pub fn all_entries_served(status: &Value) -> bool {
    let entries = status["entries"].as_array();
    entries.is_some_and(|entries| {
        !entries.is_empty()
            && entries
                .iter()
                .all(|entry| entry["serving"].as_u64() >= entry["replicas_min"].as_u64())
    })
}
