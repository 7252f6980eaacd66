//! Tests of waiting on a manual clock.

use std::pin::pin;
use std::time::Duration;

use async_std::task::block_on;
use futures_lite::future::poll_once;
use tanagerhub_clock::Clock;

#[test]
fn sleep_ends_when_advanced() {
    let (clock, handle) = Clock::manual();
    block_on(async {
        let mut sleep = pin!(clock.sleep(Duration::from_secs(3)));
        assert!(poll_once(&mut sleep).await.is_none());
        handle.advance(Duration::from_millis(2_999));
        assert!(poll_once(&mut sleep).await.is_none());
        handle.advance(Duration::from_millis(1));
        assert!(poll_once(&mut sleep).await.is_some());
    });
}

#[test]
fn timeout_keeps_finished_work() {
    let (clock, _handle) = Clock::manual();
    let done = clock.timeout(Duration::from_secs(1), async { 7 });
    assert_eq!(block_on(done), Some(7));
}
