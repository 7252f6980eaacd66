//! Client of the platform: its table, its object store and its list of VMs.
//!
//! | call | body | response |
//! |---|---|---|
//! | `POST /table/commit` | [`Transaction`] as JSON | [`CommitOutcome`] as JSON; 429 or 503: not applied |
//! | `POST /table/read` | [`ReadRows`] as JSON | [`Row`]s as JSON, in key order |
//! | `PUT /objects/{name}` | bytes | 204 |
//! | `GET /objects/{name}` | | bytes, or 404 |
//! | `GET /vms` | | [`Vm`]s as JSON |

mod http_platform;
mod object_name;
mod platform_error;
mod read_rows;

use std::fmt::Debug;
use std::pin::Pin;

use tanagerhub_catalogue::Vm;
use tanagerhub_table::{CommitOutcome, Row, Transaction};

pub use http_platform::{HttpPlatform, PlatformCalls};
pub use object_name::ObjectName;
pub use platform_error::PlatformError;
pub use read_rows::ReadRows;

/// The future of a call to the platform.
pub type BoxFuture<'a, T> = Pin<Box<dyn Future<Output = T> + Send + 'a>>;

/// The services of the platform that a node uses.
pub trait Platform: Debug + Send + Sync {
    /// Commits a transaction; without a response the outcome is [`CommitOutcome::Unknown`].
    fn commit(&self, transaction: Transaction) -> BoxFuture<'_, CommitOutcome>;

    /// Reads rows; they are returned in key order.
    fn read(&self, rows: ReadRows) -> BoxFuture<'_, Result<Vec<Row>, PlatformError>>;

    /// Stores a document under the hash of its content.
    fn put_object(&self, content: Vec<u8>) -> BoxFuture<'_, Result<ObjectName, PlatformError>>;

    /// Fetches a document and verifies that its content matches its name.
    fn get_object(&self, name: ObjectName) -> BoxFuture<'_, Result<Vec<u8>, PlatformError>>;

    /// Lists the VMs with backend servers; the list may be out of date.
    fn vms(&self) -> BoxFuture<'_, Result<Vec<Vm>, PlatformError>>;
}
