//! When a refused caller should retry.

use std::time::Duration;

/// Greatest fraction of a caller's time left that may pass before it retries: the rest is for the
/// answer, or for one more retry.
const MAX_FRACTION_OF_TIME_LEFT: f64 = 0.33;
/// Least time before a caller retries: about a round trip and the work of a refusal.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(50);
/// Least and greatest factor by which retry-after times are spread.
const JITTER_FACTORS: (f64, f64) = (0.75, 1.25);

/// Computes the retry-after time of a refused caller.
///
/// Many callers may be refused for the same reason at the same moment. They should retry when what
/// blocked them is expected to be over, spread so that they don't retry together, and never so
/// late that their own time runs out.
///
/// # Examples
///
/// ```
/// use chicory_policy::RetryAfter;
/// use std::time::Duration;
///
/// let after = RetryAfter::new(Duration::from_millis(400)).spread(0.5);
/// assert_eq!(after.within(Duration::from_secs(2)), Duration::from_millis(400));
/// assert_eq!(after.within(Duration::from_millis(600)), Duration::from_millis(198));
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RetryAfter {
    after: Duration,
}

impl RetryAfter {
    /// Creates a retry-after time, after which what blocks the request is expected to be over.
    #[must_use]
    pub fn new(expected_end: Duration) -> Self {
        Self {
            after: expected_end,
        }
    }

    /// Spreads the time by `chance`, a random number drawn uniformly from 0 to 1.
    #[must_use]
    pub fn spread(self, chance: f64) -> Self {
        let (least, most) = JITTER_FACTORS;
        Self {
            after: self.after.mul_f64(least + (most - least) * chance),
        }
    }

    /// Spreads the time by `chance` to later times only, for a cause that certainly lasts until then.
    #[must_use]
    pub fn spread_later(self, chance: f64) -> Self {
        let (_, most) = JITTER_FACTORS;
        Self {
            after: self.after.mul_f64(1.0 + (most - 1.0) * chance),
        }
    }

    /// Returns the time to send to a caller that waits for `time_left` in all.
    #[must_use]
    pub fn within(self, time_left: Duration) -> Duration {
        let most = time_left.mul_f64(MAX_FRACTION_OF_TIME_LEFT);
        self.after.max(MIN_RETRY_AFTER).min(most)
    }
}
