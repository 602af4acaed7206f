//! A clock that keeps running while the machine is suspended.

use std::time::{Duration, SystemTime};

use rustix::time::{ClockId, clock_gettime};

use crate::{Clock, MonoTime};

/// The time since the machine booted, including the time that it was suspended.
///
/// A lease that is measured on this clock and runs out while the machine is suspended has expired
/// when the machine resumes. On a clock that stops during suspension, the lease would still appear
/// to be valid.
///
/// # Examples
///
/// ```
/// use chicory_types::{BootClock, Clock};
///
/// let clock = BootClock;
/// assert!(clock.now() <= clock.now());
/// ```
#[derive(Clone, Copy, Debug, Default)]
pub struct BootClock;

impl Clock for BootClock {
    fn now(&self) -> MonoTime {
        let time = clock_gettime(ClockId::Boottime);
        let secs = u64::try_from(time.tv_sec).unwrap_or(0);
        let nanos = u32::try_from(time.tv_nsec).unwrap_or(0);
        Duration::new(secs, nanos)
    }

    fn wall(&self) -> SystemTime {
        SystemTime::now()
    }
}
