//! The bound on how far the clock rates of two machines may differ.

use std::time::Duration;

use crate::MonoTime;

/// Largest difference of two machines' clock rates that leases allow for, in percent.
pub const CLOCK_RATE_MARGIN_PERCENT: u32 = 2;

/// Computes both ends of a lease so that the holder's end always comes first.
///
/// The holder counts from before it sent its request, the grantor from after it answered, and
/// each gives way by the margin.
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
    /// The moment from which the holder must no longer act on a lease it asked for at `sent_at`.
    #[must_use]
    pub fn lease_expiry_for_holder(sent_at: MonoTime, lease: Duration) -> MonoTime {
        (sent_at + lease).saturating_sub(Self::margin(lease))
    }

    /// The moment from which the grantor may take a lease as ended that it gave at `answered_at`.
    #[must_use]
    pub fn lease_expiry_for_grantor(answered_at: MonoTime, lease: Duration) -> MonoTime {
        answered_at + lease + Self::margin(lease)
    }

    fn margin(lease: Duration) -> Duration {
        lease * CLOCK_RATE_MARGIN_PERCENT / 100
    }
}
