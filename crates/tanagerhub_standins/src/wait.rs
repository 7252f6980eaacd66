//! Waiting for a condition.

use std::time::Duration;

use tanagerhub_clock::Clock;

/// The time between two looks at a condition.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// A condition did not come true in time.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("{condition} did not come true within {timeout:?}")]
pub struct WaitTimeout {
    /// The condition.
    pub condition: String,
    /// How long it was waited for.
    pub timeout: Duration,
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
/// let timeout = Duration::from_secs(1);
/// wait_until(&Clock::real(), "the sky is up", timeout, async || true).await.unwrap();
/// # });
/// ```
pub async fn wait_until(
    clock: &Clock,
    condition: &str,
    timeout: Duration,
    holds: impl AsyncFn() -> bool,
) -> Result<(), WaitTimeout> {
    let start = clock.now();
    while !holds().await {
        if clock.now().since(start) >= timeout {
            let condition = condition.to_owned();
            return Err(WaitTimeout { condition, timeout });
        }
        clock.sleep(POLL_INTERVAL).await;
    }
    Ok(())
}
