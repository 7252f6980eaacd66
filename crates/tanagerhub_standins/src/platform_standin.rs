//! A stand-in for the platform.

mod rate;
mod table;

use std::collections::{HashMap, VecDeque};
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use http_types::{Method, Request, Response, StatusCode};
use serde::Serialize;
use serde::de::DeserializeOwned;
use tanagerhub_catalogue::{Vm, VmState};
use tanagerhub_clock::{Clock, Moment};
use tanagerhub_table::{CommitOutcome, MemoryTable, Row, Transaction};
use tanagerhub_wire::platform::ReadRows;

use crate::server::{Handler, Server};

use rate::RateCounter;
pub use rate::RateLimits;
use table::read_rows;

/// The platform's table, object store and list of VMs, with fault injection.
#[derive(Debug)]
pub struct PlatformStandin {
    server: Server,
    shared: Arc<Shared>,
}

/// Number of calls to the platform since its start, by kind.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct PlatformCounts {
    /// Transactions that were applied.
    pub commits: u64,
    /// Transactions whose conditions did not hold.
    pub conflicts: u64,
    /// Reads of rows.
    pub row_reads: u64,
    /// Objects stored.
    pub object_writes: u64,
    /// Objects fetched.
    pub object_reads: u64,
    /// Reads of the list of VMs.
    pub vm_reads: u64,
    /// Calls that the rate limits refused.
    pub rate_limited: u64,
    /// Transactions whose response was dropped after they were applied or rejected.
    pub lost_responses: u64,
}

#[derive(Debug)]
struct Shared {
    clock: Clock,
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    table: MemoryTable,
    objects: HashMap<String, Vec<u8>>,
    vms: Vec<Vm>,
    pending_lists: VecDeque<(Moment, Vec<Vm>)>,
    vm_list_lag: Duration,
    delay: Duration,
    responses_to_lose: u32,
    rates: RateCounter,
    counts: PlatformCounts,
}

impl PlatformStandin {
    /// Starts a platform without rows, objects or VMs.
    ///
    /// # Errors
    ///
    /// Returns the error of the operating system when no port can be bound.
    pub async fn start(clock: Clock) -> io::Result<Self> {
        let shared = Arc::new(Shared {
            clock,
            state: Mutex::default(),
        });
        let inner = Arc::clone(&shared);
        let handler: Handler = Arc::new(move |request, _| {
            let shared = Arc::clone(&inner);
            Box::pin(async move { shared.handle(request).await })
        });
        let server = Server::start(handler).await?;
        Ok(Self { server, shared })
    }

    /// Returns the loopback address that it listens on.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Stops the platform: connections are closed, and new ones are refused.
    pub async fn stop(&self) {
        self.server.stop().await;
    }

    /// Restarts the platform, with all stored data kept.
    ///
    /// # Errors
    ///
    /// Returns the error of the operating system when another socket took the port in the meantime.
    pub async fn restart(&self) -> io::Result<()> {
        self.server.restart().await
    }

    /// Pauses or resumes responding; connections stay open.
    pub fn set_paused(&self, paused: bool) {
        self.server.faults().set_paused(paused);
    }

    /// Sets the time by which every response is delayed.
    pub fn set_delay(&self, delay: Duration) {
        self.shared.lock().delay = delay;
    }

    /// Drops the responses to the next `count` transactions, after the transactions are applied or
    /// rejected.
    pub fn lose_responses(&self, count: u32) {
        self.shared.lock().responses_to_lose = count;
    }

    /// Sets the rate limits, and restarts their counters.
    pub fn set_rate_limits(&self, limits: RateLimits) {
        self.shared.lock().rates = RateCounter::new(limits);
    }

    /// Sets the time after which a new list of VMs becomes visible.
    pub fn set_vm_list_lag(&self, vm_list_lag: Duration) {
        self.shared.lock().vm_list_lag = vm_list_lag;
    }

    /// Replaces the list of VMs; the new one becomes visible after the lag.
    pub fn set_vms(&self, vms: Vec<Vm>) {
        let now = self.shared.clock.now();
        let mut state = self.shared.lock();
        let due = now + state.vm_list_lag;
        state.pending_lists.push_back((due, vms));
    }

    /// Marks one VM as leaving, which becomes visible after the lag.
    pub fn announce_leaving(&self, name: &str) {
        let mut vms = self.latest_vms();
        for vm in vms.iter_mut().filter(|vm| vm.name == name) {
            vm.state = VmState::Leaving;
        }
        self.set_vms(vms);
    }

    /// Returns the newest list of VMs, which may not be visible yet.
    #[must_use]
    pub fn latest_vms(&self) -> Vec<Vm> {
        let state = self.shared.lock();
        let newest = state.pending_lists.back().map(|(_, vms)| vms);
        newest.unwrap_or(&state.vms).clone()
    }

    /// Returns the rows whose keys start with `prefix`, in key order.
    #[must_use]
    pub fn rows(&self, prefix: &str) -> Vec<Row> {
        read_rows(
            &self.shared.lock().table,
            &ReadRows::Prefix {
                prefix: prefix.to_owned(),
                after: None,
                limit: u32::MAX,
            },
        )
    }

    /// Returns the number of calls since the start.
    #[must_use]
    pub fn counts(&self) -> PlatformCounts {
        self.shared.lock().counts
    }
}

impl Shared {
    async fn handle(&self, mut request: Request) -> http_types::Result<Response> {
        let body = request.body_bytes().await?;
        let delay = self.lock().delay;
        if !delay.is_zero() {
            self.clock.sleep(delay).await;
        }
        let path = request.url().path();
        match (request.method(), path) {
            (Method::Post, "/table/commit") => self.commit(&body),
            (Method::Post, "/table/read") => self.read(&body),
            (Method::Get, "/vms") => self.list_vms(),
            (method, path) => match path.strip_prefix("/objects/") {
                Some(name) if method == Method::Put => Ok(self.put(name, body)),
                Some(name) if method == Method::Get => Ok(self.get(name)),
                _ => Ok(Response::new(StatusCode::NotFound)),
            },
        }
    }

    fn commit(&self, body: &[u8]) -> http_types::Result<Response> {
        let transaction: Transaction = parse_json(body)?;
        let mut state = self.lock();
        if !state.allow_write(self.clock.now()) {
            return Ok(Response::new(StatusCode::TooManyRequests));
        }
        let outcome = state.table.commit(&transaction);
        match outcome {
            CommitOutcome::Committed { .. } => state.counts.commits += 1,
            _ => state.counts.conflicts += 1,
        }
        if state.responses_to_lose > 0 {
            state.responses_to_lose -= 1;
            state.counts.lost_responses += 1;
            return Err(http_types::format_err!("the response is dropped"));
        }
        drop(state);
        json_response(&outcome)
    }

    fn read(&self, body: &[u8]) -> http_types::Result<Response> {
        let rows: ReadRows = parse_json(body)?;
        let mut state = self.lock();
        if !state.allow_read(self.clock.now()) {
            return Ok(Response::new(StatusCode::TooManyRequests));
        }
        state.counts.row_reads += 1;
        let rows = read_rows(&state.table, &rows);
        drop(state);
        json_response(&rows)
    }

    fn list_vms(&self) -> http_types::Result<Response> {
        let now = self.clock.now();
        let mut state = self.lock();
        if !state.allow_read(now) {
            return Ok(Response::new(StatusCode::TooManyRequests));
        }
        state.counts.vm_reads += 1;
        state.publish_due_lists(now);
        json_response(&state.vms)
    }

    fn put(&self, name: &str, content: Vec<u8>) -> Response {
        let mut state = self.lock();
        if !state.allow_write(self.clock.now()) {
            return Response::new(StatusCode::TooManyRequests);
        }
        state.counts.object_writes += 1;
        state.objects.insert(name.to_owned(), content);
        drop(state);
        Response::new(StatusCode::NoContent)
    }

    fn get(&self, name: &str) -> Response {
        let mut state = self.lock();
        if !state.allow_read(self.clock.now()) {
            return Response::new(StatusCode::TooManyRequests);
        }
        state.counts.object_reads += 1;
        let Some(content) = state.objects.get(name).cloned() else {
            return Response::new(StatusCode::NotFound);
        };
        drop(state);
        let mut response = Response::new(StatusCode::Ok);
        response.set_body(content);
        response
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    fn allow_write(&mut self, now: Moment) -> bool {
        let allowed = self.rates.allow_write(now);
        self.counts.rate_limited += u64::from(!allowed);
        allowed
    }

    fn allow_read(&mut self, now: Moment) -> bool {
        let allowed = self.rates.allow_read(now);
        self.counts.rate_limited += u64::from(!allowed);
        allowed
    }

    fn publish_due_lists(&mut self, now: Moment) {
        while self
            .pending_lists
            .front()
            .is_some_and(|(due, _)| *due <= now)
        {
            if let Some((_, vms)) = self.pending_lists.pop_front() {
                self.vms = vms;
            }
        }
    }
}

/// Parses a JSON body; an invalid one becomes an error with status 400.
pub(crate) fn parse_json<T: DeserializeOwned>(body: &[u8]) -> http_types::Result<T> {
    serde_json::from_slice(body)
        .map_err(|error| http_types::Error::new(StatusCode::BadRequest, error))
}

/// Creates a response of status 200 with a JSON body.
pub(crate) fn json_response<T: Serialize + ?Sized>(value: &T) -> http_types::Result<Response> {
    let mut response = Response::new(StatusCode::Ok);
    response.set_body(serde_json::to_vec(value)?);
    response.insert_header("content-type", "application/json");
    Ok(response)
}
