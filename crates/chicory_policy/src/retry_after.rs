//! When a refused caller comes back.

use std::time::Duration;

/// Greatest part of the time that a caller has left that passes before it comes back: the rest is
/// for the answer, or for one more try.
const MAX_PART_OF_TIME_LEFT: f64 = 0.33;
/// Least time before a caller comes back, about a round trip and the work of a refusal.
const LEAST: Duration = Duration::from_millis(50);
/// Bounds of the factor by which times are spread.
const SPREAD: (f64, f64) = (0.75, 1.25);

/// Tells refused callers when to come back.
///
/// It answers many callers that are refused for one reason at one moment: they come back when what
/// blocked them is expected to be over, spread so that they don't return together, and never so
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
    /// What blocks the request is expected to be over after this time.
    #[must_use]
    pub fn new(expected_end: Duration) -> Self {
        Self {
            after: expected_end,
        }
    }

    /// Spreads the time by `chance`, which is drawn evenly from 0 to 1.
    #[must_use]
    pub fn spread(self, chance: f64) -> Self {
        let (least, most) = SPREAD;
        Self {
            after: self.after.mul_f64(least + (most - least) * chance),
        }
    }

    /// The time to tell a caller that waits `time_left` in all.
    #[must_use]
    pub fn within(self, time_left: Duration) -> Duration {
        let most = time_left.mul_f64(MAX_PART_OF_TIME_LEFT);
        self.after.max(LEAST).min(most)
    }
}
