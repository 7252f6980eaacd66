//! Liveness of connections between nodes.

use std::time::Duration;

use futures_lite::future;
use h2::{Ping, PingPong};
use tanagerhub_clock::Clock;

/// Time between two pings of a connection.
const PING_PERIOD: Duration = Duration::from_secs(2);
/// How long the answer to a ping is awaited.
const PING_TIMEOUT: Duration = Duration::from_secs(2);

/// Pings until one stays unanswered.
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
