//! Model of clocks that run at slightly different rates.

use std::time::Duration;

use chicory_types::MonoTime;

/// Clock whose rate is off by some parts per thousand.
#[derive(Clone, Copy, Debug)]
pub struct ClockModel {
    per_mille: u32,
}

impl ClockModel {
    /// Creates a clock with `skew` in parts per thousand. Two clocks within -9..=9 stay within the
    /// clock rate margin of leases.
    pub fn new(skew: i32) -> Self {
        Self {
            per_mille: u32::try_from(1_000 + skew).unwrap(),
        }
    }

    pub fn at(self, now: Duration) -> MonoTime {
        now * self.per_mille / 1_000
    }
}
