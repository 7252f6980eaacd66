//! Runs a case of the review: `cases NAME FOLDER`. Exits with 1 if a rule was broken, 0 if it held and
//! 2 if the case could not run. With TROUBLE=0 in the environment there is no disruption.

mod garble;
mod http;
mod json;
mod late;
mod node;
mod planners;
mod record;
mod store;
mod vm;

use std::path::PathBuf;
use std::process::ExitCode;

use garble::Kind;
use record::Record;

fn main() -> ExitCode {
    if std::env::args().nth(1).is_some_and(|it| it == "guard") {
        node::guard();
        return ExitCode::SUCCESS;
    }
    let mut arguments = std::env::args().skip(1);
    let (Some(name), Some(folder)) = (arguments.next(), arguments.next()) else {
        return ExitCode::from(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let (folder, record) = (PathBuf::from(folder), Record::new());
    let temporary = std::env::temp_dir().join(format!("tanagerhub-review-{}", std::process::id()));
    if std::fs::create_dir_all(&temporary).is_err() || node::start_guard().is_err() {
        return ExitCode::from(2);
    }
    record.add(format!("case {name}, trouble {trouble}"));
    let result = match name.as_str() {
        "garble" => garble::run(&temporary, trouble, &record, Kind::Success),
        "refusal" => garble::run(&temporary, trouble, &record, Kind::Refusal),
        "late" => late::run(&temporary, trouble, &record),
        "planners" => planners::run(&temporary, trouble, &record),
        _ => return ExitCode::from(2),
    };
    let code = match result {
        Ok(Some(true)) => 1,
        Ok(Some(false)) => 0,
        Ok(None) => 2,
        Err(error) => {
            record.add(format!("the case could not run: {error}"));
            2
        }
    };
    record.add(
        [
            "the rule held",
            "the rule was broken",
            "the case could not run",
        ][code as usize],
    );
    let written = record.write(&folder.join("record.txt"));
    if std::env::var("KEEP").is_err() {
        let _ = std::fs::remove_dir_all(&temporary);
    }
    if written.is_err() {
        ExitCode::from(2)
    } else {
        ExitCode::from(code)
    }
}
