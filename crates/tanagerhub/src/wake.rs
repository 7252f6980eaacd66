//! A wake-up signal for a polling task.

use std::time::Duration;

use async_channel::{Receiver, Sender};
use futures_lite::future;
use tanagerhub_clock::Clock;

/// A signal that stays set until a task waits for it.
#[derive(Debug)]
pub(crate) struct Wake {
    sender: Sender<()>,
    receiver: Receiver<()>,
}

impl Default for Wake {
    fn default() -> Self {
        let (sender, receiver) = async_channel::bounded(1);
        Self { sender, receiver }
    }
}

impl Wake {
    /// Sets the signal; has no effect if it is already set.
    pub(crate) fn signal(&self) {
        let _: Result<(), _> = self.sender.try_send(());
    }

    /// Waits for the signal, but no longer than `limit`.
    pub(crate) async fn wait(&self, clock: &Clock, limit: Duration) {
        let signal = async {
            let _: Result<(), _> = self.receiver.recv().await;
        };
        future::or(signal, clock.sleep(limit)).await;
    }
}
