//! A stand-in for the weight store.

use std::time::Duration;

use async_channel::{Receiver, Sender};
use tanagerhub_clock::Clock;

/// Hands out weights to a few engines at a time.
#[derive(Debug, Clone)]
pub struct WeightStore {
    clock: Clock,
    load_time: Duration,
    permit_receiver: Receiver<()>,
    permit_sender: Sender<()>,
}

impl WeightStore {
    /// Serves `parallel` loads at a time, each in `span`.
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

    /// Waits for a turn, and then for the weights.
    pub async fn load(&self) {
        if self.permit_receiver.recv().await.is_err() {
            return;
        }
        self.clock.sleep(self.load_time).await;
        // The permit goes back to where it came from.
        let _ = self.permit_sender.try_send(());
    }
}
