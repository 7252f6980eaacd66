//! Notices when all streams of a group fall silent together.
//!
//! A group that lost a member accepts requests and sends nothing. It also pauses while it reads a
//! long prompt, so silence is a reason to probe the members, and only a lost member is a reason to
//! move the streams.

use std::collections::HashMap;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use async_channel::{Receiver, Sender};
use tanagerhub_catalogue::{Epoch, GroupId};
use tanagerhub_clock::Moment;

/// The shortest silence that counts, whatever is usual.
const MIN_SILENCE: Duration = Duration::from_millis(150);
/// The longest silence that is waited for, whatever is usual.
const MAX_SILENCE: Duration = Duration::from_millis(600);
/// What a silence may exceed the usual pauses by.
const SILENCE_SLACK: Duration = Duration::from_millis(40);
/// Time between two suspicions of the same group.
const SUSPECT_AGAIN: Duration = Duration::from_millis(250);
/// The part by which the usual pause shrinks with each event.
const PAUSE_DECAY: u64 = 64;

/// The pulses of all groups with requests from this node.
#[derive(Debug, Default)]
pub(crate) struct Pulses {
    groups: Mutex<HashMap<(GroupId, Epoch), Arc<Pulse>>>,
}

/// When a group was last heard of.
#[derive(Debug)]
struct Pulse {
    /// In nanoseconds of the clock.
    heard: AtomicU64,
    /// The longest pause of late, in nanoseconds.
    pause: AtomicU64,
    /// When the group was last suspected, in nanoseconds of the clock.
    suspected: AtomicU64,
    /// Streams that have begun and not ended.
    streams: AtomicUsize,
    alarm: Mutex<Alarm>,
}

/// Closing the channel wakes all who wait; the next alarm needs a new one.
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

/// One request's hold on its group's pulse.
#[derive(Debug)]
pub(crate) struct Watch {
    pulse: Arc<Pulse>,
    alarm: Receiver<()>,
    streaming: bool,
}

impl Pulses {
    pub(crate) fn watch(&self, group: GroupId, epoch: Epoch) -> Watch {
        let mut groups = self.lock();
        let pulse = groups.entry((group, epoch)).or_insert_with(|| {
            Arc::new(Pulse {
                heard: AtomicU64::new(0),
                pause: AtomicU64::new(0),
                suspected: AtomicU64::new(0),
                streams: AtomicUsize::new(0),
                alarm: Mutex::default(),
            })
        });
        Watch {
            pulse: Arc::clone(pulse),
            alarm: pulse.alarm().receiver.clone(),
            streaming: false,
        }
    }

    /// The groups whose streams have all been silent for unusually long.
    pub(crate) fn suspects(&self, now: Moment) -> Vec<(GroupId, Epoch)> {
        let mut groups = self.lock();
        groups.retain(|_, pulse| Arc::strong_count(pulse) > 1);
        groups
            .iter()
            .filter(|(_, pulse)| pulse.is_suspect(now))
            .map(|(key, _)| *key)
            .collect()
    }

    /// Takes all groups for alive as of now, after this node itself stood still.
    pub(crate) fn forgive(&self, now: Moment) {
        for pulse in self.lock().values() {
            pulse.heard.fetch_max(now.as_nanos(), Ordering::Relaxed);
        }
    }

    /// Wakes the requests of a group that lost a member.
    pub(crate) fn alarm(&self, group: GroupId, epoch: Epoch) {
        if let Some(pulse) = self.lock().get(&(group, epoch)) {
            *pulse.alarm() = Alarm::default();
        }
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<(GroupId, Epoch), Arc<Pulse>>> {
        self.groups.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Pulse {
    /// Whether its streams have been silent for unusually long; notes that it was suspected.
    fn is_suspect(&self, now: Moment) -> bool {
        let again = Moment::from_nanos(self.suspected.load(Ordering::Relaxed)) + SUSPECT_AGAIN;
        let silent = self.streams.load(Ordering::Relaxed) > 0
            && now >= again
            && now.since(self.heard()) >= self.patience();
        if silent {
            self.suspected.store(now.as_nanos(), Ordering::Relaxed);
        }
        silent
    }

    /// The silence from which on the group is suspected.
    fn patience(&self) -> Duration {
        let usual = Duration::from_nanos(self.pause.load(Ordering::Relaxed));
        (usual * 3 / 2 + SILENCE_SLACK).clamp(MIN_SILENCE, MAX_SILENCE)
    }

    /// Notes that the group sent something.
    fn hear(&self, now: Moment) {
        let before = self.heard.fetch_max(now.as_nanos(), Ordering::Relaxed);
        if before == 0 {
            return;
        }
        let pause = now.as_nanos().saturating_sub(before);
        let usual = self.pause.load(Ordering::Relaxed);
        let faded = usual - usual / PAUSE_DECAY;
        self.pause.store(faded.max(pause), Ordering::Relaxed);
    }

    fn heard(&self) -> Moment {
        Moment::from_nanos(self.heard.load(Ordering::Relaxed))
    }

    fn alarm(&self) -> MutexGuard<'_, Alarm> {
        self.alarm.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Watch {
    /// Notes that the group sent something.
    pub(crate) fn hear(&mut self, now: Moment) {
        self.pulse.hear(now);
        if !self.streaming {
            self.streaming = true;
            self.pulse.streams.fetch_add(1, Ordering::Relaxed);
        }
    }

    /// When the group last sent anything, to any request of this node.
    pub(crate) fn heard(&self) -> Moment {
        self.pulse.heard()
    }

    /// How long the group may be silent without being suspected.
    pub(crate) fn patience(&self) -> Duration {
        self.pulse.patience()
    }

    /// Waits for the next alarm, after one that proved wrong.
    pub(crate) fn rearm(&mut self) {
        self.alarm = self.pulse.alarm().receiver.clone();
    }

    /// Waits until the group is found to have lost a member.
    pub(crate) async fn alarm(&self) {
        let _: Result<(), _> = self.alarm.recv().await;
    }
}

impl Drop for Watch {
    fn drop(&mut self) {
        if self.streaming {
            self.pulse.streams.fetch_sub(1, Ordering::Relaxed);
        }
    }
}

#[cfg(test)]
mod tests;
