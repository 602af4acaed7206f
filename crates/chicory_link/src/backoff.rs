//! Increasing pauses between attempts to connect.

use std::time::Duration;

/// Pause after the first failed attempt.
pub const MIN_BACKOFF: Duration = Duration::from_millis(50);
/// Longest pause: a peer that is reachable again is found within this time.
pub const MAX_BACKOFF: Duration = Duration::from_millis(800);

/// Pauses between attempts, doubled with each failure up to [`MAX_BACKOFF`].
///
/// # Examples
///
/// ```
/// use chicory_link::{Backoff, MIN_BACKOFF};
///
/// let mut backoff = Backoff::default();
/// assert_eq!(backoff.next_pause(), MIN_BACKOFF);
/// assert_eq!(backoff.next_pause(), MIN_BACKOFF * 2);
/// ```
#[derive(Clone, Copy, Debug)]
pub struct Backoff {
    pause: Duration,
}

impl Default for Backoff {
    fn default() -> Self {
        Self { pause: MIN_BACKOFF }
    }
}

impl Backoff {
    /// Returns the pause before the next attempt, and doubles the one after that.
    pub fn next_pause(&mut self) -> Duration {
        let pause = self.pause;
        self.pause = (pause * 2).min(MAX_BACKOFF);
        pause
    }

    /// Returns to the shortest pause, after a success.
    pub fn reset(&mut self) {
        *self = Self::default();
    }
}
