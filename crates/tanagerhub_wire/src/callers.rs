//! The public API: requests of callers and the responses to them.
//!
//! `POST /v1/chat/completions`, `POST /v1/completions` and `GET /v1/models` follow the usual API of
//! model servers. Plain services are served below `/services/{entry}/`, with any method.

mod call;
mod caller_request;
mod error_response;
mod idempotency_key;
mod model_list;
mod outcome;
mod prompt;

pub use call::{Call, Endpoint, ModelCall, ServiceCall};
pub use caller_request::CallerRequest;
pub(crate) use caller_request::bearer;
pub use error_response::{ErrorKind, ErrorResponse};
pub use idempotency_key::IdempotencyKey;
pub use model_list::model_list;
pub use outcome::{OUTCOME, Outcome};
pub use prompt::{BLOCK_BYTES, MAX_PREFIX_BLOCKS, resume_body};
