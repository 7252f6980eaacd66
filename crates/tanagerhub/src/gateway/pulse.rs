//! Notices when all streams of a group fall silent together.
//!
//! A group that lost a member accepts requests and sends nothing. One stream alone may pause for
//! good reasons; all of them together don't.

use std::collections::HashMap;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use async_channel::{Receiver, Sender};
use tanagerhub_catalogue::{Epoch, GroupId};
use tanagerhub_clock::Moment;

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

    /// Raises the alarm of groups whose streams have all been silent for `limit`, and names them.
    pub(crate) fn sweep(&self, now: Moment, limit: Duration) -> Vec<(GroupId, Epoch)> {
        let mut groups = self.lock();
        let mut silent = Vec::new();
        for (key, pulse) in groups.iter() {
            let streams = pulse.streams.load(Ordering::Relaxed);
            if streams > 0 && now.since(pulse.heard()) >= limit {
                *pulse.alarm() = Alarm::default();
                pulse.heard.store(now.as_nanos(), Ordering::Relaxed);
                silent.push(*key);
            }
        }
        groups.retain(|_, pulse| Arc::strong_count(pulse) > 1);
        silent
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<(GroupId, Epoch), Arc<Pulse>>> {
        self.groups.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Pulse {
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
        self.pulse
            .heard
            .fetch_max(now.as_nanos(), Ordering::Relaxed);
        if !self.streaming {
            self.streaming = true;
            self.pulse.streams.fetch_add(1, Ordering::Relaxed);
        }
    }

    /// When the group last sent anything, to any request of this node.
    pub(crate) fn heard(&self) -> Moment {
        self.pulse.heard()
    }

    /// Waits until the group is found silent.
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
