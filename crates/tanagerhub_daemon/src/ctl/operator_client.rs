//! A client of the nodes' operator API.

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

/// The largest response body, in bytes.
const MAX_RESPONSE_BYTES: usize = 64 << 20;
/// Timeout for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

/// A client that calls the first reachable one of several nodes.
#[derive(Debug)]
pub struct OperatorClient {
    addresses: Vec<SocketAddr>,
    authorization: HeaderValue,
    timeouts: Timeouts,
    http_client: BackendClient,
}

impl OperatorClient {
    /// Creates a client; `timeout` limits the wait for a node's next bytes.
    ///
    /// # Errors
    ///
    /// Fails if there is no address, or the token is not valid in a header.
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
                connect: CONNECT_TIMEOUT,
                first_byte: timeout,
                body_idle: timeout,
            },
            http_client: BackendClient::new(PoolLimits::default(), Clock::real()),
        })
    }

    /// Sends a read; continues with the next node when one fails.
    ///
    /// # Errors
    ///
    /// Fails if no node responds, or if the first one that responds refuses or sends a body that
    /// can't be parsed.
    pub async fn read<T: DeserializeOwned>(&self, path: &str) -> Result<T, CtlError> {
        let mut reason = String::new();
        for address in &self.addresses {
            let request = self.request(Method::GET, path, Bytes::new());
            match self.send(*address, request).await {
                Ok((status, body)) => return parse(status, &body).map_err(read_error),
                Err(failure) => reason = failure.to_string(),
            }
        }
        Err(CtlError::Unreachable(reason))
    }

    /// Sends a change; continues with the next node only if the call can't have reached this one.
    ///
    /// # Errors
    ///
    /// Fails if no node is reached, the node refuses, or the outcome is unknown.
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
                Ok((status, body)) => return parse(status, &body).map_err(change_error),
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
    ) -> Result<(StatusCode, Bytes), CallFailure> {
        let response = self.http_client.send(address, request).await?;
        let status = response.status;
        let body = response.body.read(MAX_RESPONSE_BYTES).await;
        let body = body.map_err(|error| CallFailure {
            reason: error.to_string(),
            may_have_run: true,
        })?;
        Ok((status, body))
    }
}

/// The failure of a call that got no complete response.
#[derive(Debug, thiserror::Error)]
#[error("{reason}")]
struct CallFailure {
    reason: String,
    may_have_run: bool,
}

impl From<BackendError> for CallFailure {
    fn from(error: BackendError) -> Self {
        Self {
            reason: error.to_string(),
            may_have_run: error.may_have_run(),
        }
    }
}

enum ResponseError {
    Refused(OperatorError),
    Unreadable(String),
}

fn parse<T: DeserializeOwned>(status: StatusCode, body: &[u8]) -> Result<T, ResponseError> {
    if status.is_success() {
        return serde_json::from_slice(body).map_err(|error| {
            ResponseError::Unreadable(format!("the answer can't be read: {error}"))
        });
    }
    let refused = serde_json::from_slice(body).map(ResponseError::Refused);
    let unreadable = |_| ResponseError::Unreadable(format!("the node answered {status}"));
    Err(refused.unwrap_or_else(unreadable))
}

fn read_error(error: ResponseError) -> CtlError {
    match error {
        ResponseError::Refused(error) => CtlError::Refused(error),
        ResponseError::Unreadable(reason) => CtlError::Unreachable(reason),
    }
}

fn change_error(error: ResponseError) -> CtlError {
    match error {
        ResponseError::Refused(OperatorError::Unknown { reason })
        | ResponseError::Unreadable(reason) => CtlError::Unknown(reason),
        ResponseError::Refused(error) => CtlError::Refused(error),
    }
}
