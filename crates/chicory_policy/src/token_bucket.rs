//! Token buckets for rate limits.

use std::time::Duration;

use chicory_types::MonoTime;

/// A token bucket that fills at a steady rate up to its burst.
///
/// # Examples
///
/// ```
/// use chicory_policy::TokenBucket;
/// use std::time::Duration;
///
/// let mut bucket = TokenBucket::new(2.0, 1.0, Duration::ZERO);
/// assert_eq!(bucket.try_take(Duration::ZERO), Ok(()));
/// assert_eq!(bucket.try_take(Duration::ZERO), Err(Duration::from_millis(500)));
/// ```
#[derive(Clone, Debug)]
pub struct TokenBucket {
    rate_per_s: f64,
    burst: f64,
    tokens: f64,
    filled_at: MonoTime,
}

impl TokenBucket {
    /// Creates a full bucket whose burst is the tokens of a tenth of a second, but at least one.
    #[must_use]
    pub fn per_second(rate_per_s: u32, now: MonoTime) -> Self {
        let rate = f64::from(rate_per_s);
        Self::new(rate, (rate / 10.0).max(1.0), now)
    }

    /// Creates a full bucket.
    #[must_use]
    pub fn new(rate_per_s: f64, burst: f64, now: MonoTime) -> Self {
        Self {
            rate_per_s,
            burst,
            tokens: burst,
            filled_at: now,
        }
    }

    /// Returns whether the bucket was created for this rate.
    #[must_use]
    pub fn has_rate(&self, rate_per_s: u32) -> bool {
        (self.rate_per_s - f64::from(rate_per_s)).abs() < f64::EPSILON
    }

    /// Changes the rate and the burst; tokens beyond the burst are lost.
    pub fn set_rate(&mut self, rate_per_s: f64, burst: f64, now: MonoTime) {
        self.fill(now);
        self.rate_per_s = rate_per_s;
        self.burst = burst;
        self.tokens = self.tokens.min(burst);
    }

    /// Takes one token.
    ///
    /// # Errors
    ///
    /// Returns the time until a token is available.
    pub fn try_take(&mut self, now: MonoTime) -> Result<(), Duration> {
        self.try_take_above(now, 0.0)
    }

    /// Takes one token if at least `reserve` tokens are left afterwards.
    ///
    /// # Errors
    ///
    /// Returns the time until that is so.
    pub fn try_take_above(&mut self, now: MonoTime, reserve: f64) -> Result<(), Duration> {
        self.fill(now);
        if self.tokens >= 1.0 + reserve {
            self.tokens -= 1.0;
            return Ok(());
        }
        let missing = 1.0 + reserve - self.tokens;
        // The least rate keeps the time finite.
        Err(Duration::from_secs_f64(
            missing / self.rate_per_s.max(0.001),
        ))
    }

    /// Adds `tokens`, up to the burst.
    pub fn add(&mut self, tokens: f64) {
        self.tokens = (self.tokens + tokens).min(self.burst);
    }

    fn fill(&mut self, now: MonoTime) {
        let passed = now.saturating_sub(self.filled_at);
        self.filled_at = now;
        self.add(passed.as_secs_f64() * self.rate_per_s);
    }
}
