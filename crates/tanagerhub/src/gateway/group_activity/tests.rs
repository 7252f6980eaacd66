use std::time::Duration;

use futures_lite::future::{block_on, poll_once};
use tanagerhub_catalogue::{Epoch, GroupId};
use tanagerhub_clock::Moment;

use super::GroupActivities;

const GROUP: GroupId = GroupId(1);
const EPOCH: Epoch = Epoch(7);

fn ms(millis: u64) -> Moment {
    Moment::from_millis(1_000 + millis)
}

/// Returns the watch of a stream with an event every `gap` milliseconds until `end`.
fn stream_events(activities: &GroupActivities, gap: u64, end: u64) -> super::ActivityWatch {
    let mut watch = activities.watch(GROUP, EPOCH);
    for at in (0..=end).step_by(usize::try_from(gap).unwrap()) {
        watch.record_activity(ms(at));
    }
    watch
}

#[test]
fn suspected_groups_after_silence() {
    let activities = GroupActivities::default();
    let _watch = stream_events(&activities, 50, 1_000);
    assert!(activities.suspected_groups(ms(1_100)).is_empty());
    assert_eq!(activities.suspected_groups(ms(1_200)), [(GROUP, EPOCH)]);
    // The suspicion is not repeated within the suspicion interval.
    assert!(activities.suspected_groups(ms(1_250)).is_empty());
    assert_eq!(activities.suspected_groups(ms(1_500)), [(GROUP, EPOCH)]);
}

#[test]
fn suspected_groups_slow_stream() {
    let activities = GroupActivities::default();
    let _watch = stream_events(&activities, 250, 2_000);
    // Pauses of this length are usual for the group.
    assert!(activities.suspected_groups(ms(2_300)).is_empty());
    assert_eq!(activities.suspected_groups(ms(2_500)), [(GROUP, EPOCH)]);
}

#[test]
fn suspected_groups_with_active_stream() {
    let activities = GroupActivities::default();
    let _quiet = stream_events(&activities, 50, 1_000);
    let mut other = activities.watch(GROUP, EPOCH);
    other.record_activity(ms(1_190));
    assert!(activities.suspected_groups(ms(1_200)).is_empty());
}

#[test]
fn suspected_groups_without_streams() {
    let activities = GroupActivities::default();
    drop(stream_events(&activities, 50, 1_000));
    let _waiting = activities.watch(GROUP, EPOCH);
    assert!(activities.suspected_groups(ms(9_000)).is_empty());
}

#[test]
fn suspected_groups_after_reset_silence() {
    let activities = GroupActivities::default();
    let _watch = stream_events(&activities, 50, 1_000);
    activities.reset_silence(ms(9_000));
    assert!(activities.suspected_groups(ms(9_050)).is_empty());
}

#[test]
fn raise_alarm_wakes_watches_of_epoch() {
    let activities = GroupActivities::default();
    let watch = activities.watch(GROUP, EPOCH);
    let newer = activities.watch(GROUP, Epoch(8));
    activities.raise_alarm(GROUP, EPOCH);
    assert!(block_on(poll_once(watch.wait_for_alarm())).is_some());
    assert!(block_on(poll_once(newer.wait_for_alarm())).is_none());
    // The alarm doesn't wake requests that start after it.
    let later = activities.watch(GROUP, EPOCH);
    assert!(block_on(poll_once(later.wait_for_alarm())).is_none());
}

#[test]
fn silence_limit_is_bounded() {
    let activities = GroupActivities::default();
    let watch = stream_events(&activities, 2_000, 4_000);
    assert!(watch.silence_limit() <= Duration::from_millis(600));
    let activities = GroupActivities::default();
    let watch = stream_events(&activities, 1, 100);
    assert!(watch.silence_limit() >= Duration::from_millis(150));
}
