//! Waiting for a condition.

use std::time::Duration;

use tanagerhub_clock::Clock;

/// Time between two checks of a condition.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// A condition did not hold within its timeout.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("condition not met within {timeout:?}: {condition}")]
pub struct WaitTimeout {
    /// Describes the condition.
    pub condition: String,
    /// The time for which the condition was awaited.
    pub timeout: Duration,
}

/// Checks a condition repeatedly until it holds.
///
/// # Errors
///
/// Returns an error when it does not hold before `timeout` has passed.
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
/// wait_until(&Clock::real(), "the server is up", timeout, async || true).await.unwrap();
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
