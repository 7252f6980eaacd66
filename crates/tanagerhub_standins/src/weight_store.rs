//! A stand-in for the weight store.

use std::time::Duration;

use async_channel::{Receiver, Sender};
use tanagerhub_clock::Clock;

/// Serves weights to a limited number of engines at a time.
#[derive(Debug, Clone)]
pub struct WeightStore {
    clock: Clock,
    load_time: Duration,
    permit_receiver: Receiver<()>,
    permit_sender: Sender<()>,
}

impl WeightStore {
    /// Creates a store that serves up to `max_parallel` loads at a time, but at least one, each in
    /// `load_time`.
    #[must_use]
    pub fn new(clock: Clock, max_parallel: usize, load_time: Duration) -> Self {
        let (permit_sender, permit_receiver) = async_channel::bounded(max_parallel.max(1));
        for _ in 0..max_parallel.max(1) {
            // The channel has room for every permit.
            let _ = permit_sender.try_send(());
        }
        Self {
            clock,
            load_time,
            permit_receiver,
            permit_sender,
        }
    }

    /// Waits for a free permit, and then for the weights.
    pub async fn load(&self) {
        if self.permit_receiver.recv().await.is_err() {
            return;
        }
        self.clock.sleep(self.load_time).await;
        // The channel has room for the permit that was received from it.
        let _ = self.permit_sender.try_send(());
    }
}
