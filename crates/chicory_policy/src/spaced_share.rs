//! A small rate that many senders keep without knowing of each other.

use std::time::Duration;

use chicory_types::MonoTime;

/// Time for which a turn may be used after it has come. Turns that lapse can't add up.
const TURN_VALIDITY: Duration = Duration::from_secs(1);
/// Longest time between two turns.
const MAX_PERIOD: Duration = Duration::from_hours(1);

/// Turns that come at a fixed period from a random first time on.
///
/// Many senders that each use their turns send at even times together, as their first turns are
/// spread over the period. Since unused turns lapse, senders that were idle don't send at once.
///
/// # Examples
///
/// ```
/// use chicory_policy::SpacedShare;
/// use std::time::Duration;
///
/// // Five turns a second, the first one after a quarter of the period.
/// let mut share = SpacedShare::new(Duration::ZERO, 5.0, 0.25);
/// assert_eq!(share.try_use_turn(Duration::ZERO, 5.0), Err(Duration::from_millis(50)));
/// assert_eq!(share.try_use_turn(Duration::from_millis(50), 5.0), Ok(()));
/// assert_eq!(share.try_use_turn(Duration::from_millis(50), 5.0), Err(Duration::from_millis(200)));
/// ```
#[derive(Clone, Copy, Debug)]
pub struct SpacedShare {
    next_turn_at: MonoTime,
}

impl SpacedShare {
    /// Creates a share whose first turn comes after this fraction of the period.
    #[must_use]
    pub fn new(now: MonoTime, turns_per_s: f64, first_fraction: f64) -> Self {
        Self {
            next_turn_at: now + period(turns_per_s).mul_f64(first_fraction),
        }
    }

    /// Uses a turn.
    ///
    /// # Errors
    ///
    /// Returns the time until the next turn.
    pub fn try_use_turn(&mut self, now: MonoTime, turns_per_s: f64) -> Result<(), Duration> {
        let period = period(turns_per_s);
        // After an increase of the rate, the next turn may be too far ahead.
        self.next_turn_at = self.next_turn_at.min(now + period);
        let overdue = now.saturating_sub(self.next_turn_at + TURN_VALIDITY);
        let lapsed = (overdue.as_secs_f64() / period.as_secs_f64()).ceil();
        self.next_turn_at += period.mul_f64(lapsed);
        if now < self.next_turn_at {
            return Err(self.next_turn_at.saturating_sub(now));
        }
        self.next_turn_at += period;
        Ok(())
    }
}

fn period(turns_per_s: f64) -> Duration {
    Duration::try_from_secs_f64(1.0 / turns_per_s).map_or(MAX_PERIOD, |one| one.min(MAX_PERIOD))
}
