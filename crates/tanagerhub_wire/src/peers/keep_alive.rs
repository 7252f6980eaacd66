//! Detects dead connections between nodes by HTTP/2 pings.

use std::time::Duration;

use futures_lite::future;
use h2::{Ping, PingPong};
use tanagerhub_clock::Clock;

/// The time between two pings of a connection.
const PING_PERIOD: Duration = Duration::from_secs(2);
/// How long a ping may wait for its acknowledgement.
const PING_TIMEOUT: Duration = Duration::from_secs(2);

/// Sends pings periodically; returns once one is not acknowledged in time.
pub(crate) async fn keep_alive(pings: Option<PingPong>, clock: &Clock) {
    let Some(mut pings) = pings else {
        return future::pending().await;
    };
    loop {
        clock.sleep(PING_PERIOD).await;
        let pong = clock
            .timeout(PING_TIMEOUT, pings.ping(Ping::opaque()))
            .await;
        if !matches!(pong, Some(Ok(_))) {
            return;
        }
    }
}
