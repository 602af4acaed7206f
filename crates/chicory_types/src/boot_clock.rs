//! A clock that goes on while the machine is suspended.

use std::time::{Duration, SystemTime};

use rustix::time::{ClockId, clock_gettime};

use crate::{Clock, MonoTime};

/// The machine's time since its boot, suspended time included.
///
/// A lease that is counted on it has ended when a machine wakes up again; on a clock that stands
/// still meanwhile it would seem to be valid.
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
