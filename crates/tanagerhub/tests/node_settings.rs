//! Checks of a node's settings.

use std::net::SocketAddr;

use tanagerhub::{Addresses, NodeSettings, SettingsError};
use tanagerhub_wire::operators::OperatorToken;
use yare::parameterized;

fn settings() -> NodeSettings {
    let address = SocketAddr::from(([127, 0, 0, 1], 1));
    let addresses = Addresses {
        callers: address,
        operators: address,
        peers: address,
    };
    let key = "correct horse battery staple".parse().unwrap();
    let token = OperatorToken::new("token");
    NodeSettings::new(addresses, key, token).location("north", "north-a")
}

#[test]
fn check_complete() {
    assert_eq!(settings().check(), Ok(()));
}

#[parameterized(
    region = { "", "north-a", "region" },
    data_centre = { "north", "", "data-centre" },
)]
fn check_empty(region: &str, data_centre: &str, setting: &'static str) {
    let settings = settings().location(region, data_centre);
    assert_eq!(settings.check(), Err(SettingsError::Empty { setting }));
}

#[test]
fn check_zero_connections() {
    let mut settings = settings();
    settings.max_connections = 0;
    let setting = "connections";
    let error = settings.check().unwrap_err();
    assert_eq!(error, SettingsError::Zero { setting });
    assert_eq!(
        error.to_string(),
        "setting \"connections\" must be above zero"
    );
}
