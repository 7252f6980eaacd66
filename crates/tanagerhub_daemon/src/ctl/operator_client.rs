//! Calls of a node's operator API.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::header::{AUTHORIZATION, CONTENT_TYPE};
use http::{HeaderValue, Method, StatusCode};
use serde::de::DeserializeOwned;
use tanagerhub_clock::Clock;
use tanagerhub_wire::backend::{
    BackendClient, BackendError, BackendRequest, ConnectionRule, PoolLimits, Timeouts,
};
use tanagerhub_wire::operators::OperatorError;

use crate::ctl::CtlError;

/// The longest answer, in bytes.
const MAX_ANSWER: usize = 64 << 20;
/// How long until a connection is open.
const CONNECT: Duration = Duration::from_secs(2);

/// Calls the first of several nodes that can be reached.
#[derive(Debug)]
pub struct OperatorClient {
    addresses: Vec<SocketAddr>,
    authorization: HeaderValue,
    timeouts: Timeouts,
    backends: BackendClient,
}

impl OperatorClient {
    /// Makes a client.
    ///
    /// # Errors
    ///
    /// Fails when there is no address, or the token can't stand in a header.
    pub fn new(
        addresses: Vec<SocketAddr>,
        token: &str,
        timeout: Duration,
    ) -> Result<Self, CtlError> {
        if addresses.is_empty() {
            let text = "no address: set --address or TANAGERCTL_ADDRESS to IP:port";
            return Err(CtlError::Usage(text.to_owned()));
        }
        let mut authorization = HeaderValue::from_str(&format!("Bearer {token}"))
            .map_err(|_invalid| CtlError::Usage("the token has control characters".to_owned()))?;
        authorization.set_sensitive(true);
        Ok(Self {
            addresses,
            authorization,
            timeouts: Timeouts {
                connect: CONNECT,
                first_byte: timeout,
                body_idle: timeout,
            },
            backends: BackendClient::new(PoolLimits::default(), Clock::real()),
        })
    }

    /// Reads something; goes on to the next node when one fails.
    ///
    /// # Errors
    ///
    /// Fails when no node answers, or the first one that does refuses.
    pub async fn read<T: DeserializeOwned>(&self, path: &str) -> Result<T, CtlError> {
        let mut reason = String::new();
        for address in &self.addresses {
            let request = self.request(Method::GET, path, Bytes::new());
            match self.send(*address, request).await {
                Ok((status, body)) => return parse(status, &body).map_err(unreadable),
                Err(failure) => reason = failure.to_string(),
            }
        }
        Err(CtlError::Unreachable(reason))
    }

    /// Changes something; goes on to the next node only when one was not reached at all.
    ///
    /// # Errors
    ///
    /// Fails when no node is reached, the node refuses, or the outcome is unknown.
    pub async fn change<T: DeserializeOwned>(
        &self,
        method: Method,
        path: &str,
        body: Bytes,
    ) -> Result<T, CtlError> {
        let mut reason = String::new();
        for address in &self.addresses {
            let request = self.request(method.clone(), path, body.clone());
            match self.send(*address, request).await {
                Ok((status, body)) => return parse(status, &body).map_err(unknown),
                Err(failure) if failure.may_have_run => {
                    return Err(CtlError::Unknown(failure.reason));
                }
                Err(failure) => reason = failure.reason,
            }
        }
        Err(CtlError::Unreachable(reason))
    }

    fn request(&self, method: Method, path: &str, body: Bytes) -> BackendRequest {
        BackendRequest::new(method, path)
            .header(AUTHORIZATION, self.authorization.clone())
            .header(
                CONTENT_TYPE,
                HeaderValue::from_static("application/octet-stream"),
            )
            .body(body)
            .connection(ConnectionRule::Fresh)
            .timeouts(self.timeouts)
    }

    async fn send(
        &self,
        address: SocketAddr,
        request: BackendRequest,
    ) -> Result<(StatusCode, Bytes), Failure> {
        let answer = self.backends.send(address, request).await?;
        let status = answer.status;
        let body = answer.body.read(MAX_ANSWER).await;
        let body = body.map_err(|error| Failure {
            reason: error.to_string(),
            may_have_run: true,
        })?;
        Ok((status, body))
    }
}

/// A call without an answer.
#[derive(Debug, thiserror::Error)]
#[error("{reason}")]
struct Failure {
    reason: String,
    may_have_run: bool,
}

impl From<BackendError> for Failure {
    fn from(error: BackendError) -> Self {
        Self {
            reason: error.to_string(),
            may_have_run: error.may_have_run(),
        }
    }
}

enum Unparsed {
    Refused(OperatorError),
    Unreadable(String),
}

fn parse<T: DeserializeOwned>(status: StatusCode, body: &[u8]) -> Result<T, Unparsed> {
    if status.is_success() {
        return serde_json::from_slice(body)
            .map_err(|error| Unparsed::Unreadable(format!("the answer can't be read: {error}")));
    }
    let refused = serde_json::from_slice(body).map(Unparsed::Refused);
    let unreadable = |_| Unparsed::Unreadable(format!("the node answered {status}"));
    Err(refused.unwrap_or_else(unreadable))
}

fn unreadable(unparsed: Unparsed) -> CtlError {
    match unparsed {
        Unparsed::Refused(error) => CtlError::Refused(error),
        Unparsed::Unreadable(reason) => CtlError::Unreachable(reason),
    }
}

fn unknown(unparsed: Unparsed) -> CtlError {
    match unparsed {
        Unparsed::Refused(OperatorError::Unknown { reason }) | Unparsed::Unreadable(reason) => {
            CtlError::Unknown(reason)
        }
        Unparsed::Refused(error) => CtlError::Refused(error),
    }
}
