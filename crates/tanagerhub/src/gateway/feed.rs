//! Follows a table of the store.

use std::sync::Arc;
use std::time::Duration;

use async_channel::Sender;
use tanagerhub_clock::{Clock, Moment};
use tanagerhub_table::{FeedError, FeedPage, RowVersion};

use crate::gateway::Store;
use crate::gateway::feed_pace::FeedPace;

/// The pause after a failed call; it doubles with each further one.
pub(crate) const RETRY_PAUSE: Duration = Duration::from_millis(150);
/// The longest pause after failed calls: the store's return is noticed within it.
const LONGEST_PAUSE: Duration = Duration::from_secs(1);
/// How much longer than its wait a call may take.
pub(crate) const CALL_SLACK: Duration = Duration::from_millis(600);
/// How long a read of a whole table may take.
const READ_LIMIT: Duration = Duration::from_secs(1);

/// One answer of the store about a table.
#[derive(Debug)]
pub(crate) struct FeedNews {
    pub(crate) page: Result<FeedPage, FeedError>,
    /// Whether the page holds all rows, not only those that changed.
    pub(crate) all: bool,
    pub(crate) sent: Moment,
    pub(crate) received: Moment,
}

/// How a table is followed.
#[derive(Debug, Clone)]
pub(crate) struct FeedPlan {
    pub(crate) table: &'static str,
    pub(crate) pace: Arc<FeedPace>,
}

/// Follows a table until nobody listens.
pub(crate) async fn follow<E: Send + 'static>(
    store: Arc<dyn Store>,
    plan: FeedPlan,
    clock: Clock,
    events: Sender<E>,
    wrap: impl Fn(FeedNews) -> E + Send + 'static,
) {
    let mut known: Option<RowVersion> = None;
    let mut failures = 0;
    loop {
        let news = call(&*store, &plan, &clock, known, failures).await;
        let sent = news.sent;
        let pause = match &news.page {
            Ok(page) => {
                (known, failures) = (Some(page.version), 0);
                None
            }
            Err(FeedError::Compacted) => {
                (known, failures) = (None, 0);
                Some(RETRY_PAUSE)
            }
            Err(_) => {
                failures += 1;
                Some(retry_pause(failures))
            }
        };
        if events.send(wrap(news)).await.is_err() {
            return;
        }
        let interval = pause.unwrap_or_else(|| plan.pace.get().interval);
        let since = clock.now().since(sent);
        if since < interval {
            clock.sleep(interval.saturating_sub(since)).await;
        }
    }
}

/// The least time from a failed call to the next, after so many in a row.
fn retry_pause(failures: u32) -> Duration {
    let doubled = 2_u32.saturating_pow(failures.saturating_sub(1));
    RETRY_PAUSE.saturating_mul(doubled).min(LONGEST_PAUSE)
}

async fn call(
    store: &dyn Store,
    plan: &FeedPlan,
    clock: &Clock,
    known: Option<RowVersion>,
    failures: u32,
) -> FeedNews {
    let sent = clock.now();
    // After a failure any answer is news: it proves that what is known is fresh.
    let wait = if failures > 0 {
        Duration::ZERO
    } else {
        plan.pace.get().wait
    };
    let (limit, pending) = match known {
        Some(after) => (wait + CALL_SLACK, store.follow(plan.table, after, wait)),
        None => (READ_LIMIT, store.read(plan.table)),
    };
    let late = || {
        Err(FeedError::Unavailable {
            reason: format!("no answer within {} ms", limit.as_millis()),
        })
    };
    let page = clock.timeout(limit, pending).await.unwrap_or_else(late);
    FeedNews {
        page,
        all: known.is_none(),
        sent,
        received: clock.now(),
    }
}

#[cfg(test)]
mod tests;
