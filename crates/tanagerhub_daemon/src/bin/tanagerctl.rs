//! The operators' command-line program for tanagerhub.

use std::io::Write as _;
use std::process::ExitCode;

use async_std::task;
use mimalloc::MiMalloc;
use tanagerhub_daemon::ctl::{CtlError, ExitStatus, ctl, run};

#[global_allocator]
static ALLOCATOR: MiMalloc = MiMalloc;

fn main() -> ExitCode {
    let ctl = match ctl().run_inner(bpaf::Args::current_args()) {
        Ok(ctl) => ctl,
        Err(failure) => {
            failure.print_message(100);
            return match failure {
                bpaf::ParseFailure::Stderr(_) => exit(ExitStatus::Usage),
                _ => ExitCode::SUCCESS,
            };
        }
    };
    env_logger::init();
    let output = task::block_on(run(ctl, |name| std::env::var(name).ok()));
    match output {
        Ok(output) => {
            let written = std::io::stdout().write_all(output.text.as_bytes());
            // The reader may close the pipe early; that is not a failure of the command.
            drop(written);
            output.error.as_ref().map_or(ExitCode::SUCCESS, fail)
        }
        Err(error) => fail(&error),
    }
}

fn fail(error: &CtlError) -> ExitCode {
    eprintln!("{error}");
    exit(error.exit_status())
}

fn exit(status: ExitStatus) -> ExitCode {
    ExitCode::from(status as u8)
}
