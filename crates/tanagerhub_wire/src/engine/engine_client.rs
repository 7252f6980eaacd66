//! Control calls to model engines.

use std::net::SocketAddr;
use std::time::Duration;

use ::http::{HeaderValue, Method, StatusCode, header};
use serde::de::DeserializeOwned;
use tanagerhub_fleet::{MemberReport, Order, OrderResponse};

use crate::backend::{BackendClient, BackendError, BackendRequest, BodyError, Timeouts};

/// The maximum length of an engine's response to a control call.
const MAX_RESPONSE_BYTES: usize = 16 * 1_024;

/// Why a control call to an engine has no usable response.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum EngineError {
    /// The request failed.
    #[error(transparent)]
    Backend(#[from] BackendError),
    /// The body of the response is truncated, malformed or too long.
    #[error(transparent)]
    Body(#[from] BodyError),
    /// The engine responded with a status other than 200.
    #[error("the engine at {address} responded with status {status}")]
    Status {
        /// The address of the engine.
        address: SocketAddr,
        /// The HTTP status.
        status: StatusCode,
    },
    /// The body of the response is not the expected JSON.
    #[error("the response of the engine at {address} is malformed: {reason}")]
    Malformed {
        /// The address of the engine.
        address: SocketAddr,
        /// The error of the JSON parser.
        reason: String,
    },
}

/// Requests reports from engines and sends them orders.
#[derive(Debug, Clone)]
pub struct EngineClient {
    backends: BackendClient,
    timeouts: Timeouts,
}

impl EngineClient {
    /// Creates a client; `timeout` applies to each step of a call: connecting, the head of the
    /// response, and each read of its body.
    #[must_use]
    pub const fn new(backends: BackendClient, timeout: Duration) -> Self {
        let timeouts = Timeouts {
            connect: timeout,
            first_byte: timeout,
            body_idle: timeout,
        };
        Self { backends, timeouts }
    }

    /// Requests the state of an engine.
    ///
    /// # Errors
    ///
    /// Returns an error when the engine can't be reached, does not respond in time, or sends a
    /// malformed response.
    pub async fn report(&self, address: SocketAddr) -> Result<MemberReport, EngineError> {
        let request = BackendRequest::new(Method::GET, "/engine/report");
        self.send(address, request).await
    }

    /// Sends an order to an engine.
    ///
    /// # Errors
    ///
    /// Returns the errors of [`Self::report`]. Unless the error is [`BackendError::NotSent`], the
    /// engine may still carry out the order, now or later.
    ///
    /// # Panics
    ///
    /// Never, as orders are always serialisable.
    pub async fn order(
        &self,
        address: SocketAddr,
        order: &Order,
    ) -> Result<OrderResponse, EngineError> {
        let body = serde_json::to_vec(order).expect("orders are serialisable");
        let request = BackendRequest::new(Method::POST, "/engine/order")
            .header(
                header::CONTENT_TYPE,
                HeaderValue::from_static("application/json"),
            )
            .body(body);
        self.send(address, request).await
    }

    async fn send<T: DeserializeOwned>(
        &self,
        address: SocketAddr,
        request: BackendRequest,
    ) -> Result<T, EngineError> {
        let request = request.timeouts(self.timeouts);
        let response = self.backends.send(address, request).await?;
        let status = response.status;
        let body = response.body.read(MAX_RESPONSE_BYTES).await?;
        if status != StatusCode::OK {
            return Err(EngineError::Status { address, status });
        }
        serde_json::from_slice(&body).map_err(|error| EngineError::Malformed {
            address,
            reason: error.to_string(),
        })
    }
}
