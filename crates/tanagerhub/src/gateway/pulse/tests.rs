use std::time::Duration;

use futures_lite::future::{block_on, poll_once};
use tanagerhub_catalogue::{Epoch, GroupId};
use tanagerhub_clock::Moment;

use super::Pulses;

const GROUP: GroupId = GroupId(1);
const EPOCH: Epoch = Epoch(7);

fn ms(millis: u64) -> Moment {
    Moment::from_millis(1_000 + millis)
}

/// A group with one stream that sends an event each `gap` until `end`.
fn streaming(pulses: &Pulses, gap: u64, end: u64) -> super::Watch {
    let mut watch = pulses.watch(GROUP, EPOCH);
    for at in (0..=end).step_by(usize::try_from(gap).unwrap()) {
        watch.hear(ms(at));
    }
    watch
}

#[test]
fn suspects_silent() {
    let pulses = Pulses::default();
    let _watch = streaming(&pulses, 50, 1_000);
    assert!(pulses.suspects(ms(1_100)).is_empty());
    assert_eq!(pulses.suspects(ms(1_200)), [(GROUP, EPOCH)]);
    // Not again at once.
    assert!(pulses.suspects(ms(1_250)).is_empty());
    assert_eq!(pulses.suspects(ms(1_500)), [(GROUP, EPOCH)]);
}

#[test]
fn suspects_slow_group_later() {
    let pulses = Pulses::default();
    let _watch = streaming(&pulses, 250, 2_000);
    // It usually pauses for as long.
    assert!(pulses.suspects(ms(2_300)).is_empty());
    assert_eq!(pulses.suspects(ms(2_500)), [(GROUP, EPOCH)]);
}

#[test]
fn suspects_not_while_one_streams() {
    let pulses = Pulses::default();
    let _quiet = streaming(&pulses, 50, 1_000);
    let mut other = pulses.watch(GROUP, EPOCH);
    other.hear(ms(1_190));
    assert!(pulses.suspects(ms(1_200)).is_empty());
}

#[test]
fn suspects_not_without_streams() {
    let pulses = Pulses::default();
    drop(streaming(&pulses, 50, 1_000));
    let _waiting = pulses.watch(GROUP, EPOCH);
    assert!(pulses.suspects(ms(9_000)).is_empty());
}

#[test]
fn suspects_not_after_own_standstill() {
    let pulses = Pulses::default();
    let _watch = streaming(&pulses, 50, 1_000);
    pulses.forgive(ms(9_000));
    assert!(pulses.suspects(ms(9_050)).is_empty());
}

#[test]
fn alarm_wakes_requests_of_epoch() {
    let pulses = Pulses::default();
    let watch = pulses.watch(GROUP, EPOCH);
    let newer = pulses.watch(GROUP, Epoch(8));
    pulses.alarm(GROUP, EPOCH);
    assert!(block_on(poll_once(watch.alarm())).is_some());
    assert!(block_on(poll_once(newer.alarm())).is_none());
    // A request that comes later is not concerned.
    let later = pulses.watch(GROUP, EPOCH);
    assert!(block_on(poll_once(later.alarm())).is_none());
}

#[test]
fn patience_is_bounded() {
    let pulses = Pulses::default();
    let watch = streaming(&pulses, 2_000, 4_000);
    assert!(watch.patience() <= Duration::from_millis(600));
    let pulses = Pulses::default();
    let watch = streaming(&pulses, 1, 100);
    assert!(watch.patience() >= Duration::from_millis(150));
}
