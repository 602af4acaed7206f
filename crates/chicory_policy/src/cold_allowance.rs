//! How far the requests to a cold server may exceed its rate.

use std::time::Duration;

use crate::PermitLimit;
use crate::permit_holder::FRACTION_WITHOUT_ISSUER;

/// Span in which the requests to a cold server are counted.
const COUNTED_SPAN: Duration = Duration::from_secs(1);
/// Longest time from when a permit is issued until its request is at the server: 0.5 s for which it
/// is valid, 0.3 s to open a connection, and transit.
const PERMIT_DELAY: Duration = Duration::from_millis(900);
/// Longest time from the turn of a sender without an issuer until its request is at the server: a
/// second for which the turn may be used, and 0.3 s to open a connection.
const TURN_DELAY: Duration = Duration::from_millis(1300);
/// Least number of permits that may accumulate: one request needs a whole one.
const MIN_BURST: f64 = 1.0;

/// How far the requests to a cold server may exceed its rate in any second.
///
/// # Examples
///
/// ```
/// use chicory_policy::ColdAllowance;
///
/// let limit = ColdAllowance::default().permit_limit(4.0);
/// assert_eq!(limit.rate_per_s, 4.0);
/// assert!(limit.burst < 4.0);
/// ```
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdAllowance {
    /// Factor on the rate.
    pub overage: f64,
    /// Requests in addition.
    pub slack: f64,
}

impl Default for ColdAllowance {
    fn default() -> Self {
        Self {
            overage: 1.5,
            slack: 8.0,
        }
    }
}

impl ColdAllowance {
    /// Returns the greatest number of requests in one second for a server with this rate.
    #[must_use]
    pub fn greatest_per_s(self, rate_per_s: f64) -> f64 {
        rate_per_s * self.overage + self.slack
    }

    /// Returns the limit by which permits for a cold server are issued.
    ///
    /// Permits are used up to 0.9 s after they were issued, so those of a longer span can
    /// be used within one second, and senders without an issuer send as well. What the allowance
    /// leaves beside both may accumulate.
    #[must_use]
    pub fn permit_limit(self, rate_per_s: f64) -> PermitLimit {
        let greatest = self.greatest_per_s(rate_per_s);
        let issued = rate_per_s * (COUNTED_SPAN + PERMIT_DELAY).as_secs_f64();
        let without_issuer =
            rate_per_s * FRACTION_WITHOUT_ISSUER * (COUNTED_SPAN + TURN_DELAY).as_secs_f64();
        let usual = PermitLimit::named(rate_per_s);
        let burst = (greatest - issued - without_issuer).clamp(MIN_BURST, usual.burst);
        PermitLimit {
            rate_per_s: rate_per_s.min(greatest),
            burst,
        }
    }
}
