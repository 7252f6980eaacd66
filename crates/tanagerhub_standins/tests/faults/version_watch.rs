//! Versions in force at the nodes of a test.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use async_std::task::{self, JoinHandle};
use tanagerhub_clock::Clock;
use tanagerhub_standins::Operator;

/// Records the versions in force at all ready nodes, repeatedly.
pub(super) struct VersionWatch {
    task: JoinHandle<()>,
    stop: Arc<AtomicBool>,
}

impl VersionWatch {
    /// Time between two reads of the versions.
    const READ_INTERVAL: Duration = Duration::from_millis(250);

    pub(super) fn start(operators: Vec<Operator>, clock: Clock) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let stopped = Arc::clone(&stop);
        let task = task::spawn(async move {
            while !stopped.load(Ordering::Relaxed) {
                for operator in &operators {
                    if operator.is_ready().await {
                        // A node that ends in the meantime returns no version.
                        drop(operator.record_version().await);
                    }
                }
                clock.sleep(Self::READ_INTERVAL).await;
            }
        });
        Self { task, stop }
    }

    pub(super) async fn stop(self) {
        self.stop.store(true, Ordering::Relaxed);
        self.task.await;
    }
}
