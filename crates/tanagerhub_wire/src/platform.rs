//! The platform: its table, its object store and its list of VMs.
//!
//! | call | body | answer |
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

/// An answer of the platform that is on its way.
pub type PlatformFuture<'a, T> = Pin<Box<dyn Future<Output = T> + Send + 'a>>;

/// The platform's services, as a node uses them.
pub trait Platform: Debug + Send + Sync {
    /// Applies a transaction; a lost answer is [`CommitOutcome::Unknown`].
    fn commit(&self, transaction: Transaction) -> PlatformFuture<'_, CommitOutcome>;

    /// Reads rows, in key order.
    fn read(&self, rows: ReadRows) -> PlatformFuture<'_, Result<Vec<Row>, PlatformError>>;

    /// Stores a document under the hash of its content.
    fn put_object(&self, content: Vec<u8>)
    -> PlatformFuture<'_, Result<ObjectName, PlatformError>>;

    /// Fetches a document and checks it against its name.
    fn get_object(&self, name: ObjectName) -> PlatformFuture<'_, Result<Vec<u8>, PlatformError>>;

    /// Lists the VMs with backend servers; the list lags.
    fn vms(&self) -> PlatformFuture<'_, Result<Vec<Vm>, PlatformError>>;
}
