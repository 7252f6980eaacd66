//! Traits that a deployment implements: its store, its engines and the format of its messages.

use std::fmt::{self, Debug};
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::time::Duration;

use http::request::Parts;
use http::{HeaderMap, StatusCode};
use tanagerhub_groups::{Order, OrderResult, ProbeFailure, VmReport};
use tanagerhub_table::{CommitResult, FeedError, FeedPage, RowVersion, StoreAnswer, Transaction};
use tanagerhub_traffic::SelfReport;

use crate::gateway::{CallHead, Configuration, Upstream};

/// A boxed future, so that the traits of this module can be used as trait objects.
pub type BoxFuture<'a, T> = Pin<Box<dyn Future<Output = T> + Send + 'a>>;

/// The platform's store of versioned rows.
pub trait Store: Debug + Send + Sync {
    /// Applies all writes of a transaction, or none of them.
    fn commit(&self, transaction: Transaction) -> BoxFuture<'_, StoreAnswer<CommitResult>>;

    /// Reads all rows of a table from one consistent snapshot.
    ///
    /// The result is an error if the store does not respond or the response can't be used.
    fn read(&self, table: &'static str) -> BoxFuture<'_, StoreAnswer<Result<FeedPage, FeedError>>>;

    /// Waits up to `wait` for changes of a table that are newer than version `after`.
    ///
    /// The result is [`FeedError::Compacted`] if the store no longer keeps changes that old.
    fn follow(
        &self,
        table: &'static str,
        after: RowVersion,
        wait: Duration,
    ) -> BoxFuture<'_, StoreAnswer<Result<FeedPage, FeedError>>>;
}

/// The engines on the VMs.
pub trait Engines: Debug + Send + Sync {
    /// Sends an order to the VM with this name and address.
    fn order<'a>(
        &'a self,
        name: &'a str,
        address: SocketAddr,
        order: &'a Order,
        conditions: CallConditions<'a>,
    ) -> BoxFuture<'a, EngineAnswer<OrderResult>>;

    /// Requests the current report of a VM; `known` is the previous report.
    fn report<'a>(
        &'a self,
        known: &'a VmReport,
        conditions: CallConditions<'a>,
    ) -> BoxFuture<'a, EngineAnswer<Result<VmReport, ProbeFailure>>>;
}

/// The conditions of a call to an engine.
#[derive(Clone, Copy)]
pub struct CallConditions<'a> {
    /// The time after which the call ends without a result. What the head of a response has told by
    /// then counts.
    pub timeout: Duration,
    /// Whether the call may be sent. It is evaluated once the connection is open, immediately before
    /// the first byte; a call that is not sent fails as paused.
    pub may_send: &'a (dyn Fn() -> bool + Send + Sync),
}

impl Debug for CallConditions<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("CallConditions")
            .field("timeout", &self.timeout)
            .finish_non_exhaustive()
    }
}

/// The format of the messages of operators, VMs, callers and backend servers.
pub trait Dialect: Debug + Send + Sync {
    /// Returns the name of the store's table that operators write.
    fn operator_table(&self) -> &'static str;

    /// Returns the name of the store's table that VMs write.
    fn vm_table(&self) -> &'static str;

    /// Classifies a row of the operators' table by its name.
    fn operator_row(&self, name: &str) -> OperatorRow;

    /// Decodes the configuration row.
    ///
    /// # Errors
    ///
    /// Returns a description of the part that is invalid.
    fn configuration(&self, value: &[u8]) -> Result<Configuration, String>;

    /// Decodes the row of the VM with this name.
    ///
    /// # Errors
    ///
    /// Returns a description of the part that is invalid. Such a VM receives no requests.
    fn vm(&self, name: &str, value: &[u8]) -> Result<VmReport, String>;

    /// Parses the head of a caller's request.
    ///
    /// # Errors
    ///
    /// Returns the reason why the head is invalid; the caller receives it with status 400.
    fn head(&self, request: &Parts) -> Result<CallHead, HeadError>;

    /// Rewrites a caller's headers for the request to a backend server.
    fn upstream(&self, headers: &mut HeaderMap, upstream: &Upstream<'_>);

    /// Sets how long the caller of a request that is forwarded to another node still waits.
    fn set_timeout(&self, headers: &mut HeaderMap, timeout: Duration);

    /// Classifies the head of a backend server's response to the request `id`.
    ///
    /// Whatever names no request is [`ResponseKind::Foreign`], also on a new connection: a faulty
    /// server writes bytes there that belong to no request.
    fn response_kind(&self, id: &str, status: StatusCode, headers: &HeaderMap) -> ResponseKind;

    /// Returns the limit that a backend server's response advertises, in requests a second from all
    /// nodes together; `None` without a limit.
    ///
    /// # Errors
    ///
    /// Returns a description of the value that is invalid. The former limit then stays in force.
    fn server_limit(&self, headers: &HeaderMap) -> Result<Option<f64>, String>;

    /// Decodes what a backend server's response says about the server itself.
    fn self_report(&self, status: StatusCode, headers: &HeaderMap) -> DecodedReport;
}

/// What a response says about its backend server.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct DecodedReport {
    /// The valid part of it.
    pub report: SelfReport,
    /// A description of the part that is invalid, for the log.
    pub invalid: Option<String>,
}

/// The result of a call to the engine on a VM, with what the response says about its backend
/// server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EngineAnswer<T> {
    /// The result of the call.
    pub result: T,
    /// Empty if there was no response.
    pub report: DecodedReport,
}

impl<T> From<T> for EngineAnswer<T> {
    /// Returns the answer of a call without a response.
    fn from(result: T) -> Self {
        Self {
            result,
            report: DecodedReport::default(),
        }
    }
}

/// The subject of a row in the operators' table.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum OperatorRow {
    /// The configuration of all nodes.
    Configuration,
    /// A data centre that must receive no requests, by its name.
    Evacuation(String),
    /// A row that nodes ignore.
    Other,
}

/// The meaning of the head of a backend server's response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ResponseKind {
    /// A response to the request, successful or not.
    Valid,
    /// The backend server did not run the request.
    NotRun,
    /// The request reached another backend server than intended, which did not run it.
    Misdirected,
    /// A response to another request, which says nothing about this one. What it says of its backend
    /// server holds.
    OfOther,
    /// Bytes that are a response to no request.
    Foreign,
}

/// An invalid head of a caller's request.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("{reason}")]
pub struct HeadError {
    /// The description of the fault, for the caller.
    pub reason: String,
}

/// The implementations that a deployment provides; clones share them.
#[derive(Debug, Clone)]
pub struct Adapters {
    /// The platform's store.
    pub store: Arc<dyn Store>,
    /// The client for the engines on the VMs.
    pub engines: Arc<dyn Engines>,
    /// The format of the deployment's messages.
    pub dialect: Arc<dyn Dialect>,
}
