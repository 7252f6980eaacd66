//! What a deployment provides: its store, its engines and the form of its messages.

use std::fmt::Debug;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::time::Duration;

use http::request::Parts;
use http::{HeaderMap, StatusCode};
use tanagerhub_groups::{Order, OrderResult, ProbeFailure, VmReport};
use tanagerhub_table::{CommitResult, FeedError, FeedPage, RowVersion, Transaction};

use crate::gateway::{CallHead, Configuration, Upstream};

/// An answer that is still to come.
pub type Pending<'a, T> = Pin<Box<dyn Future<Output = T> + Send + 'a>>;

/// The store that holds what must last.
pub trait Store: Debug + Send + Sync {
    /// Applies a transaction, all of it or nothing.
    fn commit(&self, transaction: Transaction) -> Pending<'_, CommitResult>;

    /// Reads all rows of a table, as of one moment.
    fn read(&self, table: &'static str) -> Pending<'_, Result<FeedPage, FeedError>>;

    /// Waits up to `wait` for changes of a table after a version.
    fn follow(
        &self,
        table: &'static str,
        after: RowVersion,
        wait: Duration,
    ) -> Pending<'_, Result<FeedPage, FeedError>>;
}

/// The engines on the VMs.
pub trait Engines: Debug + Send + Sync {
    /// Sends an order to the VM with this name at this address.
    fn order<'a>(
        &'a self,
        name: &'a str,
        address: SocketAddr,
        order: &'a Order,
    ) -> Pending<'a, OrderResult>;

    /// Asks a VM for its report; `known` is the last one.
    fn report<'a>(&'a self, known: &'a VmReport) -> Pending<'a, Result<VmReport, ProbeFailure>>;
}

/// The form of what operators, VMs, callers and back ends write.
pub trait Dialect: Debug + Send + Sync {
    /// The table of the operators' rows.
    fn operator_table(&self) -> &'static str;

    /// The table of the VMs' rows.
    fn vm_table(&self) -> &'static str;

    /// What a row of the operators is about.
    fn operator_row(&self, name: &str) -> OperatorRow;

    /// Decodes a configuration.
    ///
    /// # Errors
    ///
    /// Says what in it can't be used.
    fn configuration(&self, value: &[u8]) -> Result<Configuration, String>;

    /// Decodes the row of the VM with this name.
    ///
    /// # Errors
    ///
    /// Says what in it can't be used; such a VM gets no requests.
    fn vm(&self, name: &str, value: &[u8]) -> Result<VmReport, String>;

    /// Reads the head of a caller's request.
    ///
    /// # Errors
    ///
    /// Says what in it can't be used.
    fn head(&self, request: &Parts) -> Result<CallHead, HeadError>;

    /// Changes a caller's headers into those that a back end gets.
    fn upstream(&self, headers: &mut HeaderMap, upstream: &Upstream<'_>);

    /// What the head of a back end's answer to the request `id` means.
    fn answer(&self, id: &str, status: StatusCode, headers: &HeaderMap) -> AnswerKind;
}

/// What a row of the operators is about.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum OperatorRow {
    /// The configuration.
    Configuration,
    /// A data centre that is to get no requests, by its name.
    Evacuation(String),
    /// Nothing that concerns a node.
    Other,
}

/// What the head of a back end's answer means.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AnswerKind {
    /// It answers the request.
    Answer,
    /// The back end did not run the request.
    NotRun,
    /// The back end is not the one that was meant, and did not run the request.
    Misdirected,
    /// It answers another request.
    Foreign,
}

/// Why the head of a caller's request can't be used.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("{reason}")]
pub struct HeadError {
    /// What is wrong with it.
    pub reason: String,
}

/// All that a deployment provides.
#[derive(Debug, Clone)]
pub struct Edges {
    /// The store.
    pub store: Arc<dyn Store>,
    /// The engines.
    pub engines: Arc<dyn Engines>,
    /// The form of messages.
    pub dialect: Arc<dyn Dialect>,
}
