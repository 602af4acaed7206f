//! Conversion of the kernel's clock ticks.

use std::time::Duration;

/// Returns the duration of a number of clock ticks, in which the kernel states processor time.
pub(crate) fn duration_of_ticks(ticks: u64, ticks_per_s: u64) -> Duration {
    Duration::from_millis(ticks * 1000 / ticks_per_s.max(1))
}
