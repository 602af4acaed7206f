//! Waiting for events.

use std::time::Duration;

use tokio::time::Instant;

use crate::RunnerError;
use crate::runner_error::TimedOutSnafu;

/// Pause between two looks.
pub const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Looks again and again until `look` finds something, and returns it.
///
/// `look` returns `Err` with what it saw instead.
///
/// # Errors
///
/// [`RunnerError::TimedOut`] with what was seen last.
pub async fn until<T>(
    what: &str,
    timeout: Duration,
    mut look: impl AsyncFnMut() -> Result<T, String>,
) -> Result<T, RunnerError> {
    let deadline = Instant::now() + timeout;
    loop {
        let last = match look().await {
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
