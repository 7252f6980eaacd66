//! Stand-ins and cases of the review. `standin CASE PROGRAM FOLDER RECORD` plays one case; the variable
//! TROUBLE=0 leaves the disruption out. Exit status: 1 if the rule was broken, 0 if it held, 2 if the case
//! couldn't run.

mod case_era_key;
mod case_era_two;
mod case_last_key;
mod case_leaving;
mod case_public;
mod client;
mod desk;
mod engine;
mod http;
mod json;
mod node;
mod proxy;
mod record;
mod store;

use std::panic::{AssertUnwindSafe, catch_unwind};
use std::path::PathBuf;
use std::process::exit;

use record::Record;

pub struct Setup {
    pub program: PathBuf,
    pub folder: PathBuf,
    pub record: Record,
    /// Whether the disruption happens.
    pub trouble: bool,
}

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, program, folder, record] = arguments.as_slice() else {
        eprintln!("usage: standin CASE PROGRAM FOLDER RECORD");
        exit(2);
    };
    let Ok(record) = Record::create(record.as_ref()) else {
        eprintln!("the record can't be written");
        exit(2);
    };
    let setup = Setup {
        program: program.into(),
        folder: folder.into(),
        record,
        trouble: std::env::var("TROUBLE").as_deref() != Ok("0"),
    };
    setup
        .record
        .say(&format!("case {case}, disruption: {}", setup.trouble));
    let result = catch_unwind(AssertUnwindSafe(|| match case.as_str() {
        "last-key" => case_last_key::run(&setup),
        "era-key" => case_era_key::run(&setup),
        "era-two" => case_era_two::run(&setup),
        "public" => case_public::run(&setup),
        "leaving" => case_leaving::run(&setup),
        _ => Err(format!("no case {case}")),
    }))
    .unwrap_or_else(|_| Err("the stand-in panicked".into()));
    let status = match result {
        Ok(broken) if broken.is_empty() => {
            setup.record.say("the rule held");
            0
        }
        Ok(broken) => {
            for line in broken {
                setup.record.say(&format!("BROKEN: {line}"));
            }
            1
        }
        Err(error) => {
            setup.record.say(&format!("the case couldn't run: {error}"));
            2
        }
    };
    exit(status);
}
