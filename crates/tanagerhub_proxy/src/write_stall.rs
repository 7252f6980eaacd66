//! Detects peers that take no bytes.

use std::fmt;
use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::task::{Context, Poll};
use std::time::Duration;

use tanagerhub_clock::{Clock, Moment};

/// How often a blocked write is tried again. The system reports a socket as writable only once a
/// third of its send buffer is free, which takes a slow peer longer than the limit; a write
/// succeeds before.
const RETRY_PERIOD: Duration = Duration::from_millis(250);

/// The limit on the time for which peers may take no byte while some wait; clones share the count.
#[derive(Debug, Clone)]
pub struct StallLimit {
    limit: Duration,
    ended: Arc<AtomicU64>,
}

impl StallLimit {
    /// Creates a limit.
    #[must_use]
    pub fn new(limit: Duration) -> Self {
        Self {
            limit,
            ended: Arc::default(),
        }
    }

    /// Returns the number of connections that were closed because of the limit.
    #[must_use]
    pub fn ended(&self) -> u64 {
        self.ended.load(Ordering::Relaxed)
    }
}

/// The progress of the writes on one connection.
pub(crate) struct WriteStall {
    limit: StallLimit,
    clock: Clock,
    blocked_since: Option<Moment>,
    retry: Option<Pin<Box<dyn Future<Output = ()> + Send + Sync>>>,
}

impl fmt::Debug for WriteStall {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("WriteStall")
            .field("limit", &self.limit)
            .field("blocked_since", &self.blocked_since)
            .finish_non_exhaustive()
    }
}

impl WriteStall {
    pub(crate) const fn new(limit: StallLimit, clock: Clock) -> Self {
        Self {
            limit,
            clock,
            blocked_since: None,
            retry: None,
        }
    }

    /// Runs a write, again at intervals while it is blocked; fails once it has been blocked for too
    /// long.
    pub(crate) fn poll_write(
        &mut self,
        context: &mut Context<'_>,
        mut write: impl FnMut(&mut Context<'_>) -> Poll<io::Result<usize>>,
    ) -> Poll<io::Result<usize>> {
        loop {
            if let Poll::Ready(result) = write(context) {
                self.blocked_since = None;
                self.retry = None;
                return Poll::Ready(result);
            }
            let now = self.clock.now();
            let since = *self.blocked_since.get_or_insert(now);
            if now.since(since) >= self.limit.limit {
                self.limit.ended.fetch_add(1, Ordering::Relaxed);
                log::info!(
                    blocked_ms = now.since(since).as_millis();
                    "connection closed: the caller takes no bytes"
                );
                return Poll::Ready(Err(io::ErrorKind::TimedOut.into()));
            }
            let retry = self.retry.get_or_insert_with(|| {
                let clock = self.clock.clone();
                Box::pin(async move { clock.sleep(RETRY_PERIOD).await })
            });
            if retry.as_mut().poll(context).is_pending() {
                return Poll::Pending;
            }
            self.retry = None;
        }
    }
}
