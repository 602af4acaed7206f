//! The largest difference between the clock rates of two machines that leases allow for.

use std::time::Duration;

use crate::MonoTime;

/// Largest difference between the clock rates of two machines that leases allow for, in percent.
pub const CLOCK_RATE_MARGIN_PERCENT: u32 = 2;

/// Computes when a lease expires for its holder and for its grantor, so that it always expires for
/// the holder first.
///
/// The holder counts the lease from before it sent its request and subtracts the margin. The
/// grantor counts it from after it answered and adds the margin.
///
/// # Examples
///
/// ```
/// use chicory_types::ClockRateMargin;
/// use std::time::Duration;
///
/// let lease = Duration::from_secs(1);
/// let at = Duration::ZERO;
/// assert!(
///     ClockRateMargin::lease_expiry_for_holder(at, lease)
///         < ClockRateMargin::lease_expiry_for_grantor(at, lease)
/// );
/// ```
#[derive(Clone, Copy, Debug)]
pub struct ClockRateMargin;

impl ClockRateMargin {
    /// Returns the time from which the holder must no longer act on a lease that it requested at
    /// `sent_at`.
    #[must_use]
    pub fn lease_expiry_for_holder(sent_at: MonoTime, lease: Duration) -> MonoTime {
        (sent_at + lease).saturating_sub(Self::margin(lease))
    }

    /// Returns the time from which the grantor may treat a lease that it granted at `answered_at`
    /// as expired.
    #[must_use]
    pub fn lease_expiry_for_grantor(answered_at: MonoTime, lease: Duration) -> MonoTime {
        answered_at + lease + Self::margin(lease)
    }

    fn margin(lease: Duration) -> Duration {
        lease * CLOCK_RATE_MARGIN_PERCENT / 100
    }
}
