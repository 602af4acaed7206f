//! Polling until a condition holds.

use std::time::Duration;

use tokio::time::Instant;

use crate::RunnerError;
use crate::runner_error::TimedOutSnafu;

/// Pause between two checks.
pub const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Calls `check` repeatedly until it succeeds, and returns its value.
///
/// `check` returns `Err` with a description of what it found instead.
///
/// # Errors
///
/// [`RunnerError::TimedOut`] with the description of the last check.
pub async fn until<T>(
    what: &str,
    timeout: Duration,
    mut check: impl AsyncFnMut() -> Result<T, String>,
) -> Result<T, RunnerError> {
    let deadline = Instant::now() + timeout;
    loop {
        let last = match check().await {
            Ok(found) => return Ok(found),
            Err(last) => last,
        };
        if Instant::now() >= deadline {
            return TimedOutSnafu {
                what,
                timeout,
                last,
            }
            .fail();
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}
