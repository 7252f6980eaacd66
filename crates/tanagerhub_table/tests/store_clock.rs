//! Tests of the moments at which responses of the store can have been current.

use std::time::Duration;

use tanagerhub_clock::Moment;
use tanagerhub_table::{StoreClock, StoreTime};
use yare::parameterized;

/// Store time at the local moment zero.
const STORE_OFFSET_MS: u64 = 400;
/// When the poll of each case is sent, and when the store responds to it.
const SENT_MS: u64 = 110;
const RESPONDED_MS: u64 = 1_104;

/// Returns a clock whose reference point is the local moment 100, in milliseconds.
fn clock() -> StoreClock {
    let mut clock = StoreClock::default();
    let at = StoreTime(STORE_OFFSET_MS + 100);
    let sent = Moment::from_millis(100);
    assert_eq!(clock.as_of(sent, Moment::from_millis(104), at), sent);
    clock
}

/// The store's clock is set forward by `step` during a poll whose response takes `delay`.
#[parameterized(
    large = { 60_000, 900 },
    longer_than_delay = { 600, 500 },
    small = { 20, 1 },
)]
fn as_of_detects_forward_step(step: u64, delay: u64) {
    let at = StoreTime(STORE_OFFSET_MS + RESPONDED_MS + step);
    let received = Moment::from_millis(RESPONDED_MS + delay);
    let moment = clock().as_of(Moment::from_millis(SENT_MS), received, at);
    assert_eq!(moment, Moment::from_millis(SENT_MS));
}

#[parameterized(prompt = { 1 }, delayed = { 900 })]
fn as_of_without_step(delay: u64) {
    let at = StoreTime(STORE_OFFSET_MS + RESPONDED_MS);
    let received = Moment::from_millis(RESPONDED_MS + delay);
    let moment = clock().as_of(Moment::from_millis(SENT_MS), received, at);
    let responded = Moment::from_millis(RESPONDED_MS);
    assert!(moment <= responded);
    assert!(responded.since(moment) < Duration::from_millis(5));
}
