//! Calls of model engines for control.

use std::net::SocketAddr;
use std::time::Duration;

use ::http::{HeaderValue, Method, StatusCode, header};
use serde::de::DeserializeOwned;
use tanagerhub_fleet::{MemberReport, Order, OrderAnswer};

use crate::backend::{BackendClient, BackendError, BackendRequest, BodyError, Timeouts};

/// The most bytes of an engine's answer to a control call.
const MAX_RESPONSE_BYTES: usize = 16 * 1_024;

/// Why an engine gave no usable answer to a control call.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum EngineError {
    /// The call failed.
    #[error(transparent)]
    Backend(#[from] BackendError),
    /// The answer did not come to its end.
    #[error(transparent)]
    Body(#[from] BodyError),
    /// The engine answered with another status than 200.
    #[error("the engine at {address} answered {status}")]
    Status {
        /// The engine.
        address: SocketAddr,
        /// Its status.
        status: StatusCode,
    },
    /// The answer can't be read.
    #[error("the engine at {address} answered in an unknown form: {reason}")]
    Malformed {
        /// The engine.
        address: SocketAddr,
        /// What is wrong with it.
        reason: String,
    },
}

/// Asks engines for reports and gives them orders.
#[derive(Debug, Clone)]
pub struct EngineClient {
    backends: BackendClient,
    timeouts: Timeouts,
}

impl EngineClient {
    /// Makes a client; each call may take `timeout`.
    #[must_use]
    pub const fn new(backends: BackendClient, timeout: Duration) -> Self {
        let timeouts = Timeouts {
            connect: timeout,
            first_byte: timeout,
            body_idle: timeout,
        };
        Self { backends, timeouts }
    }

    /// Asks an engine for its state.
    ///
    /// # Errors
    ///
    /// Fails when the engine can't be reached, is late, or answers in an unknown form.
    pub async fn report(&self, address: SocketAddr) -> Result<MemberReport, EngineError> {
        let request = BackendRequest::new(Method::GET, "/engine/report");
        self.send(address, request).await
    }

    /// Gives an engine an order.
    ///
    /// # Errors
    ///
    /// Fails like [`Self::report`]. Unless the error is [`BackendError::NotSent`], the engine may
    /// obey the order nevertheless, now or later.
    ///
    /// # Panics
    ///
    /// Never: orders are plain data.
    pub async fn order(
        &self,
        address: SocketAddr,
        order: &Order,
    ) -> Result<OrderAnswer, EngineError> {
        let body = serde_json::to_vec(order).expect("orders are plain data");
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
