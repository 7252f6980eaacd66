//! A stand-in for the weight store.

use std::time::Duration;

use async_channel::{Receiver, Sender};
use tanagerhub_clock::Clock;

/// Hands out weights to a few engines at a time.
#[derive(Debug, Clone)]
pub struct WeightStore {
    clock: Clock,
    span: Duration,
    free: Receiver<()>,
    back: Sender<()>,
}

impl WeightStore {
    /// Serves `parallel` loads at a time, each in `span`.
    #[must_use]
    pub fn new(clock: Clock, parallel: usize, span: Duration) -> Self {
        let (back, free) = async_channel::bounded(parallel.max(1));
        for _ in 0..parallel.max(1) {
            // The channel has room for every permit.
            let _ = back.try_send(());
        }
        Self {
            clock,
            span,
            free,
            back,
        }
    }

    /// Waits for a turn, and then for the weights.
    pub async fn load(&self) {
        if self.free.recv().await.is_err() {
            return;
        }
        self.clock.sleep(self.span).await;
        // The permit goes back to where it came from.
        let _ = self.back.try_send(());
    }
}
