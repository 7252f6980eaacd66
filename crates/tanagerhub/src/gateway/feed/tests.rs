use std::time::Duration;

use yare::parameterized;

use super::retry_pause;

#[parameterized(
    single = { 1, 150 },
    second = { 2, 300 },
    fourth = { 4, 1_000 },
    many = { 1_000, 1_000 },
)]
fn retry_pause_grows(failures: u32, millis: u64) {
    assert_eq!(retry_pause(failures), Duration::from_millis(millis));
}
