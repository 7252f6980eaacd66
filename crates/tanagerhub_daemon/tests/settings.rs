//! Settings from flags and environment variables.

use std::time::Duration;

use tanagerhub_daemon::settings::{Flags, Settings, flags};
use yare::parameterized;

const GOOD: [&str; 16] = [
    "--callers",
    "0.0.0.0:8080",
    "--operators",
    "10.0.0.5:8081",
    "--peers",
    "10.0.0.5:7070",
    "--region",
    "tbilisi",
    "--data-centre",
    "tbs-a",
    "--peer-key",
    "0123456789abcdef",
    "--operator-token",
    "fedcba9876543210",
    "--platform",
    "10.0.0.9:9000",
];

/// The good flags, with one more that goes before them.
fn given(flag: &str, value: &str) -> Flags {
    let mut args = GOOD.to_vec();
    match args.iter().position(|arg| *arg == flag) {
        Some(place) => args[place + 1] = value,
        None if flag.is_empty() => {}
        None => args.extend([flag, value]),
    }
    flags().run_inner(args.as_slice()).unwrap()
}

#[test]
fn read_flags() {
    let settings = Settings::read(given("", ""), |_| None).unwrap();
    assert_eq!(settings.node.callers.to_string(), "0.0.0.0:8080");
    assert_eq!(settings.node.data_centre, "tbs-a");
    assert_eq!(settings.statsd, None);
    assert_eq!(settings.log, "info");
    settings.node.check().unwrap();
}

#[test]
fn read_variable_below_flag() {
    let variable = |name: &str| match name {
        "TANAGERHUB_REGION" => Some("other".to_owned()),
        "TANAGERHUB_DRAIN_GRACE_MS" => Some("250".to_owned()),
        "TANAGERHUB_SEEDS" => Some("10.0.0.6:7070, 10.0.0.7:7070".to_owned()),
        _ => None,
    };
    let settings = Settings::read(given("", ""), variable).unwrap();
    assert_eq!(settings.node.region, "tbilisi");
    assert_eq!(settings.node.drain_grace, Duration::from_millis(250));
    assert_eq!(settings.node.seeds.len(), 2);
}

#[parameterized(
    name_not_ip = { "--callers", "localhost:80", "\"localhost:80\"" },
    no_port = { "--operators", "10.0.0.5:0", "\"10.0.0.5:0\"" },
    unspecified_peers = { "--peers", "0.0.0.0:7070", "that others reach" },
    unspecified_platform = { "--platform", "0.0.0.0:7070", "that others reach" },
    bad_seeds = { "--seeds", "10.0.0.5:7070,x", "commas" },
    bad_statsd = { "--statsd", "stats:8125", "\"stats:8125\"" },
    bad_name = { "--data-centre", "tbs a", "letters" },
    long_grace = { "--drain-grace-ms", "3600001", "3600000" },
    no_connections = { "--connections", "0", "100000" },
    small_body = { "--body-limit", "10", "1024" },
    negative_seed = { "--random-seed", "1.5", "from 0" },
    short_key = { "--peer-key", "abc", "(3 bytes, not shown)" },
)]
fn refuse_value(flag: &str, value: &str, text: &str) {
    let refused = Settings::read(given(flag, value), |_| None).unwrap_err();
    assert_eq!(refused.problems.len(), 1, "{refused}");
    let refused = refused.to_string();
    assert!(refused.starts_with(&format!("{flag} is ")), "{refused}");
    assert!(refused.contains(text), "{refused}");
}

#[test]
fn refuse_variable() {
    let variable = |name: &str| (name == "TANAGERHUB_STATSD").then(|| "x".to_owned());
    let refused = Settings::read(given("", ""), variable)
        .unwrap_err()
        .to_string();
    assert!(
        refused.starts_with("TANAGERHUB_STATSD is \"x\": "),
        "{refused}"
    );
}

#[test]
fn refuse_missing_all() {
    let refused = Settings::read(Flags::default(), |_| None).unwrap_err();
    assert_eq!(refused.problems.len(), 8, "{refused}");
    let text = refused.to_string();
    assert!(
        text.contains("--callers is not set, nor is TANAGERHUB_CALLERS"),
        "{text}"
    );
}

#[test]
fn help_hides_nothing_needed() {
    let help = flags().run_inner(&["--help"]).unwrap_err().unwrap_stdout();
    for flag in GOOD.iter().step_by(2) {
        assert!(help.contains(flag), "{flag} is not in {help}");
    }
}
