//! A stand-in for a plain service.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, OnceLock, PoisonError, Weak};
use std::time::Duration;

use async_std::task;
use http_types::{Method, Request, Response, StatusCode};
use serde::Deserialize;
use serde_json::json;
use tanagerhub_catalogue::VmId;
use tanagerhub_clock::Clock;

use crate::platform_standin::{json_response, parse_json};
use crate::server::{Handler, Server};
use crate::{Event, MissingCause, Recorder, RequestId};

/// A service that stores bookings, with fault injection.
///
/// `POST /bookings` is not repeatable; `GET /items` is.
#[derive(Debug, Clone)]
pub struct ServiceStandin(Arc<Inner>);

#[derive(Debug)]
struct Inner {
    server: Server,
    clock: Clock,
    recorder: Recorder,
    vm: VmId,
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    delay: Duration,
    crashes_left: u32,
    bookings: BTreeMap<RequestId, u32>,
    keys: BTreeMap<String, u32>,
}

/// The body of a booking request.
#[derive(Deserialize)]
struct Booking {
    id: String,
}

impl ServiceStandin {
    /// Time between a crash and the restart.
    const RESTART_DELAY: Duration = Duration::from_millis(200);

    /// Starts a service on the VM with this name.
    ///
    /// # Errors
    ///
    /// Returns the error of the operating system when no port can be bound.
    pub async fn start(clock: Clock, recorder: Recorder, name: &str) -> io::Result<Self> {
        let inner_cell = Arc::new(OnceLock::<Weak<Inner>>::new());
        let handler_cell = Arc::clone(&inner_cell);
        let handler: Handler = Arc::new(move |request, _| {
            let service = handler_cell.get().and_then(Weak::upgrade).map(Self);
            Box::pin(async move {
                match service {
                    Some(service) => service.handle(request).await,
                    None => Err(http_types::format_err!("the service has been dropped")),
                }
            })
        });
        let inner = Arc::new(Inner {
            server: Server::start(handler).await?,
            clock,
            recorder,
            vm: VmId::of(name),
            state: Mutex::default(),
        });
        drop(inner_cell.set(Arc::downgrade(&inner)));
        Ok(Self(inner))
    }

    /// Returns the loopback address that it listens on.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.0.server.address()
    }

    /// Returns the id of the VM that it runs on.
    #[must_use]
    pub fn vm(&self) -> VmId {
        self.0.vm
    }

    /// Simulates a kill of the process: connections close, and new ones are refused.
    pub async fn kill(&self) {
        self.0.recorder.record(Event::Missing {
            vm: self.0.vm,
            cause: MissingCause::Dead,
        });
        self.0.server.stop().await;
    }

    /// Restarts the process, with its bookings kept.
    ///
    /// # Errors
    ///
    /// Returns the error of the operating system when another socket took the port in the meantime.
    pub async fn restart(&self) -> io::Result<()> {
        self.0.server.restart().await?;
        self.0.recorder.record(Event::Returned { vm: self.0.vm });
        Ok(())
    }

    /// Pauses or resumes responding; connections stay open.
    pub fn set_paused(&self, paused: bool) {
        self.0.server.faults().set_paused(paused);
    }

    /// Stops all traffic on the connections that are open now, until they are closed; new
    /// connections work.
    pub fn stall_open_connections(&self) {
        self.0.server.faults().stall_open_connections();
    }

    /// Sets the time by which every request is delayed before it runs.
    pub fn set_delay(&self, delay: Duration) {
        self.lock().delay = delay;
    }

    /// Makes the process crash at each of the next `count` bookings, after the booking ran and
    /// before the response.
    pub fn crash_after_running(&self, count: u32) {
        self.lock().crashes_left = count;
    }

    /// Returns how often each booking ran, by the id in its body.
    #[must_use]
    pub fn bookings(&self) -> BTreeMap<RequestId, u32> {
        self.lock().bookings.clone()
    }

    /// Returns how often bookings ran, by `Idempotency-Key`.
    #[must_use]
    pub fn keys(&self) -> BTreeMap<String, u32> {
        self.lock().keys.clone()
    }

    async fn handle(&self, mut request: Request) -> http_types::Result<Response> {
        let delay = self.lock().delay;
        if !delay.is_zero() {
            self.0.clock.sleep(delay).await;
        }
        let path = request.url().path().to_owned();
        match (request.method(), path.as_str()) {
            (Method::Post, "/bookings") => {
                let booking: Booking = parse_json(&request.body_bytes().await?)?;
                let key = request
                    .header("idempotency-key")
                    .map(|key| key.as_str().to_owned());
                self.book(booking, key)
            }
            (Method::Get, "/items") => json_response(&json!({"items": ["base station", "rover"]})),
            (Method::Get, "/health") => json_response(&json!({"state": "serving"})),
            _ => Ok(Response::new(StatusCode::NotFound)),
        }
    }

    fn book(&self, booking: Booking, key: Option<String>) -> http_types::Result<Response> {
        let request_id = RequestId(booking.id);
        let crashes = self.record_booking(&request_id, key);
        if crashes {
            self.crash_and_restart();
            return Err(http_types::format_err!("the service crashed"));
        }
        let mut response = json_response(&json!({"id": request_id.0, "state": "booked"}))?;
        response.set_status(StatusCode::Created);
        Ok(response)
    }

    /// Stores the booking, and returns whether the process must crash now.
    fn record_booking(&self, request_id: &RequestId, key: Option<String>) -> bool {
        let mut state = self.lock();
        *state.bookings.entry(request_id.clone()).or_default() += 1;
        if let Some(key) = key {
            *state.keys.entry(key).or_default() += 1;
        }
        self.0.recorder.record(Event::Ran {
            request_id: request_id.clone(),
            vm: self.0.vm,
            repeatable: false,
        });
        let crashes = state.crashes_left > 0;
        state.crashes_left = state.crashes_left.saturating_sub(1);
        crashes
    }

    fn crash_and_restart(&self) {
        let service = self.clone();
        task::spawn(async move {
            service.kill().await;
            service.0.clock.sleep(Self::RESTART_DELAY).await;
            if let Err(error) = service.restart().await {
                log::warn!("service on VM {} failed to restart: {error}", service.vm());
            }
        });
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.0.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
