//! Waiting for a condition.

use std::time::Duration;

use tanagerhub_clock::Clock;

/// The time between two looks at a condition.
const POLL: Duration = Duration::from_millis(20);

/// A condition did not come true in time.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("{what} did not come true within {limit:?}")]
pub struct TooLate {
    /// The condition.
    pub what: String,
    /// How long it was waited for.
    pub limit: Duration,
}

/// Looks at a condition until it holds.
///
/// # Errors
///
/// Fails when it does not hold before `limit` has passed.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use tanagerhub_clock::Clock;
/// use tanagerhub_standins::wait_until;
///
/// # async_std::task::block_on(async {
/// let limit = Duration::from_secs(1);
/// wait_until(&Clock::real(), "the sky is up", limit, async || true).await.unwrap();
/// # });
/// ```
pub async fn wait_until(
    clock: &Clock,
    what: &str,
    limit: Duration,
    holds: impl AsyncFn() -> bool,
) -> Result<(), TooLate> {
    let start = clock.now();
    while !holds().await {
        if clock.now().since(start) >= limit {
            let what = what.to_owned();
            return Err(TooLate { what, limit });
        }
        clock.sleep(POLL).await;
    }
    Ok(())
}
