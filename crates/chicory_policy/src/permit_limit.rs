//! The limit from which permits for one server are issued.

use std::time::Duration;

/// Time for which permits accumulate while nobody requests any.
const BURST_TIME: Duration = Duration::from_millis(500);
/// Permits that accumulate in addition, so that a low limit is used although requests come at
/// irregular times.
const EXTRA_BURST: f64 = 2.0;

/// The limit from which permits for one server are issued.
///
/// # Examples
///
/// ```
/// use chicory_policy::PermitLimit;
///
/// let named = PermitLimit::named(4.0);
/// let cold = PermitLimit { rate_per_s: 6.0, burst: 1.0 };
/// assert_eq!(named.stricter(cold), PermitLimit { rate_per_s: 4.0, burst: 1.0 });
/// ```
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PermitLimit {
    /// Permits per second.
    pub rate_per_s: f64,
    /// Greatest number of permits that accumulate while nobody requests any; at least 1.
    pub burst: f64,
}

impl PermitLimit {
    /// Returns the limit for a server that names this many requests per second in its answers.
    #[must_use]
    pub fn named(rate_per_s: f64) -> Self {
        Self {
            rate_per_s,
            burst: rate_per_s * BURST_TIME.as_secs_f64() + EXTRA_BURST,
        }
    }

    /// Returns the limit that keeps both.
    #[must_use]
    pub fn stricter(self, other: Self) -> Self {
        Self {
            rate_per_s: self.rate_per_s.min(other.rate_per_s),
            burst: self.burst.min(other.burst),
        }
    }
}
