//! Detects groups whose streams have all gone silent at the same time.
//!
//! A group with an unreachable member still accepts requests but sends nothing. A healthy group
//! also pauses while it reads a long prompt. Silence is therefore only a reason to probe the
//! members, and streams are moved only when a member is found to be unreachable.

use std::collections::HashMap;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use async_channel::{Receiver, Sender};
use tanagerhub_catalogue::{Epoch, GroupId};
use tanagerhub_clock::Moment;

/// The minimum silence after which a group is suspected, however short its recent pauses are.
const MIN_SILENCE: Duration = Duration::from_millis(150);
/// The maximum silence after which a group is suspected, however long its recent pauses are.
const MAX_SILENCE: Duration = Duration::from_millis(600);
/// The time by which a silence may exceed one and a half times the recent pause.
const SILENCE_SLACK: Duration = Duration::from_millis(40);
/// The minimum time between two suspicions of the same group.
const SUSPICION_INTERVAL: Duration = Duration::from_millis(250);
/// The recent pause decreases with each event by its value divided by this number.
const PAUSE_DECAY_DIVISOR: u64 = 64;

/// The activity of all groups with requests from this node.
#[derive(Debug, Default)]
pub(crate) struct GroupActivities {
    groups: Mutex<HashMap<(GroupId, Epoch), Arc<GroupActivity>>>,
}

/// The activity of the requests from this node to one group.
#[derive(Debug)]
struct GroupActivity {
    /// When the group last sent data, in nanoseconds of the clock; 0 before the first data.
    last_activity: AtomicU64,
    /// The longest recent pause between events in nanoseconds, which decays with each event.
    recent_pause: AtomicU64,
    /// When the group was last suspected, in nanoseconds of the clock.
    suspected_at: AtomicU64,
    /// The number of open streams that have received data.
    streams: AtomicUsize,
    alarm: Mutex<Alarm>,
}

/// A channel that is closed to wake all waiting requests; each alarm needs a new channel.
#[derive(Debug)]
struct Alarm {
    _sender: Sender<()>,
    receiver: Receiver<()>,
}

impl Default for Alarm {
    fn default() -> Self {
        let (sender, receiver) = async_channel::bounded(1);
        Self {
            _sender: sender,
            receiver,
        }
    }
}

/// The view of one request on the activity of its group.
#[derive(Debug)]
pub(crate) struct ActivityWatch {
    activity: Arc<GroupActivity>,
    alarm: Receiver<()>,
    streaming: bool,
}

impl GroupActivities {
    pub(crate) fn watch(&self, group: GroupId, epoch: Epoch) -> ActivityWatch {
        let mut groups = self.lock();
        let activity = groups.entry((group, epoch)).or_insert_with(|| {
            Arc::new(GroupActivity {
                last_activity: AtomicU64::new(0),
                recent_pause: AtomicU64::new(0),
                suspected_at: AtomicU64::new(0),
                streams: AtomicUsize::new(0),
                alarm: Mutex::default(),
            })
        });
        ActivityWatch {
            activity: Arc::clone(activity),
            alarm: activity.alarm().receiver.clone(),
            streaming: false,
        }
    }

    /// Returns the groups whose streams have all been silent for unusually long, and removes groups
    /// without requests.
    pub(crate) fn suspected_groups(&self, now: Moment) -> Vec<(GroupId, Epoch)> {
        let mut groups = self.lock();
        groups.retain(|_, activity| Arc::strong_count(activity) > 1);
        groups
            .iter()
            .filter(|(_, activity)| activity.suspect_if_silent(now))
            .map(|(key, _)| *key)
            .collect()
    }

    /// Restarts the measurement of the silence of all groups at `now`, after this node itself was
    /// paused.
    pub(crate) fn reset_silence(&self, now: Moment) {
        for activity in self.lock().values() {
            activity
                .last_activity
                .fetch_max(now.as_nanos(), Ordering::Relaxed);
        }
    }

    /// Wakes the requests to a group with an unreachable member.
    pub(crate) fn raise_alarm(&self, group: GroupId, epoch: Epoch) {
        if let Some(activity) = self.lock().get(&(group, epoch)) {
            *activity.alarm() = Alarm::default();
        }
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<(GroupId, Epoch), Arc<GroupActivity>>> {
        self.groups.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl GroupActivity {
    /// Returns whether the streams have been silent for unusually long, and records the suspicion.
    fn suspect_if_silent(&self, now: Moment) -> bool {
        let next_suspicion =
            Moment::from_nanos(self.suspected_at.load(Ordering::Relaxed)) + SUSPICION_INTERVAL;
        let silent = self.streams.load(Ordering::Relaxed) > 0
            && now >= next_suspicion
            && now.since(self.last_activity()) >= self.silence_limit();
        if silent {
            self.suspected_at.store(now.as_nanos(), Ordering::Relaxed);
        }
        silent
    }

    /// Returns the silence after which the group is suspected.
    fn silence_limit(&self) -> Duration {
        let recent_pause = Duration::from_nanos(self.recent_pause.load(Ordering::Relaxed));
        (recent_pause * 3 / 2 + SILENCE_SLACK).clamp(MIN_SILENCE, MAX_SILENCE)
    }

    /// Records that the group sent data, and updates the recent pause.
    fn record_activity(&self, now: Moment) {
        let before = self
            .last_activity
            .fetch_max(now.as_nanos(), Ordering::Relaxed);
        if before == 0 {
            return;
        }
        let pause = now.as_nanos().saturating_sub(before);
        let recent_pause = self.recent_pause.load(Ordering::Relaxed);
        let decayed = recent_pause - recent_pause / PAUSE_DECAY_DIVISOR;
        self.recent_pause
            .store(decayed.max(pause), Ordering::Relaxed);
    }

    fn last_activity(&self) -> Moment {
        Moment::from_nanos(self.last_activity.load(Ordering::Relaxed))
    }

    fn alarm(&self) -> MutexGuard<'_, Alarm> {
        self.alarm.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl ActivityWatch {
    /// Records that the group sent data to this request.
    pub(crate) fn record_activity(&mut self, now: Moment) {
        self.activity.record_activity(now);
        if !self.streaming {
            self.streaming = true;
            self.activity.streams.fetch_add(1, Ordering::Relaxed);
        }
    }

    /// Returns when the group last sent data to any request of this node.
    pub(crate) fn last_activity(&self) -> Moment {
        self.activity.last_activity()
    }

    /// Returns the silence after which the group is suspected.
    pub(crate) fn silence_limit(&self) -> Duration {
        self.activity.silence_limit()
    }

    /// Prepares to wait for the next alarm after a false one.
    pub(crate) fn rearm(&mut self) {
        self.alarm = self.activity.alarm().receiver.clone();
    }

    /// Waits until an alarm reports that a member of the group is unreachable.
    pub(crate) async fn wait_for_alarm(&self) {
        let _: Result<(), _> = self.alarm.recv().await;
    }
}

impl Drop for ActivityWatch {
    fn drop(&mut self) {
        if self.streaming {
            self.activity.streams.fetch_sub(1, Ordering::Relaxed);
        }
    }
}

#[cfg(test)]
mod tests;
