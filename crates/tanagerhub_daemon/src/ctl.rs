//! The operators' commands.

mod check;
mod command;
mod ctl_error;
mod operator_client;
mod print;
mod run;

pub use command::{Command, Common, Ctl, ctl};
pub use ctl_error::{CtlError, ExitStatus};
pub use operator_client::OperatorClient;
pub use run::{Output, run};
