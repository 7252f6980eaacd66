//! The API for operators: calls, responses and their HTTP encoding.
//!
//! | call | response |
//! |---|---|
//! | `GET /ready` | [`Readiness`]; 503 when not ready; needs no token |
//! | `GET /debug/state` | the node's state as JSON |
//! | `GET /v1/catalogue` | [`CatalogueView`] |
//! | `PUT /v1/catalogue?expected=&dry_run=&wait=` | TOML in the body; [`Applied`] |
//! | `GET /v1/status` | [`StatusView`] |
//! | `GET /v1/explain/{group,model,vm}/{name}` | [`Explanation`] |
//! | `POST /v1/marks` | [`MarkCall`] in the body; [`Applied`] |
//! | `GET /v1/crashes`, `DELETE /v1/crashes` | [`CrashList`], [`Cleared`] |

mod operator_call;
mod operator_error;
mod operator_http;
mod responses;
mod status;
mod token;

pub use operator_call::{Apply, MarkCall, MarkTarget, OperatorCall, Subject};
pub use operator_error::OperatorError;
pub use operator_http::handle_operator_request;
pub use responses::{
    Applied, CatalogueView, Cleared, Crash, CrashList, Decision, Explanation, OperatorResponse,
    Readiness,
};
pub use status::{DataCentreStatus, EntryStatus, GroupStatus, NodeStatus, StatusView, VmStatus};
pub use token::OperatorToken;
