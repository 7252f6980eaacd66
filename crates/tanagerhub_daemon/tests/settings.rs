//! Reads settings from flags and environment variables.

use std::time::Duration;

use tanagerhub_daemon::settings::{Flags, Settings, flags};
use yare::parameterized;

const VALID_FLAGS: [&str; 16] = [
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

/// Returns the valid flags with one added or replaced; none if `flag` is empty.
fn flags_with(flag: &str, value: &str) -> Flags {
    let mut args = VALID_FLAGS.to_vec();
    match args.iter().position(|arg| *arg == flag) {
        Some(index) => args[index + 1] = value,
        None if flag.is_empty() => {}
        None => args.extend([flag, value]),
    }
    flags().run_inner(args.as_slice()).unwrap()
}

#[test]
fn read_flags() {
    let settings = Settings::read(flags_with("", ""), |_| None).unwrap();
    assert_eq!(settings.node.callers.to_string(), "0.0.0.0:8080");
    assert_eq!(settings.node.data_centre, "tbs-a");
    assert_eq!(settings.statsd, None);
    assert_eq!(settings.log, "info");
    settings.node.check().unwrap();
}

#[test]
fn read_flag_overrides_variable() {
    let variable = |name: &str| match name {
        "TANAGERHUB_REGION" => Some("other".to_owned()),
        "TANAGERHUB_DRAIN_GRACE_MS" => Some("250".to_owned()),
        "TANAGERHUB_SEEDS" => Some("10.0.0.6:7070, 10.0.0.7:7070".to_owned()),
        _ => None,
    };
    let settings = Settings::read(flags_with("", ""), variable).unwrap();
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
fn read_invalid_flag(flag: &str, value: &str, text: &str) {
    let invalid = Settings::read(flags_with(flag, value), |_| None).unwrap_err();
    assert_eq!(invalid.problems.len(), 1, "{invalid}");
    let invalid = invalid.to_string();
    assert!(invalid.starts_with(&format!("{flag} is ")), "{invalid}");
    assert!(invalid.contains(text), "{invalid}");
}

#[test]
fn read_invalid_variable() {
    let variable = |name: &str| (name == "TANAGERHUB_STATSD").then(|| "x".to_owned());
    let invalid = Settings::read(flags_with("", ""), variable)
        .unwrap_err()
        .to_string();
    assert!(
        invalid.starts_with("TANAGERHUB_STATSD is \"x\": "),
        "{invalid}"
    );
}

#[test]
fn read_all_missing() {
    let invalid = Settings::read(Flags::default(), |_| None).unwrap_err();
    assert_eq!(invalid.problems.len(), 8, "{invalid}");
    let text = invalid.to_string();
    assert!(
        text.contains("--callers is not set, nor is TANAGERHUB_CALLERS"),
        "{text}"
    );
}

#[test]
fn help_lists_required_flags() {
    let help = flags().run_inner(&["--help"]).unwrap_err().unwrap_stdout();
    for flag in VALID_FLAGS.iter().step_by(2) {
        assert!(help.contains(flag), "{flag} is not in {help}");
    }
}
