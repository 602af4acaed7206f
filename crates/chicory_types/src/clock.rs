//! The clock interface, which lets tests and other harnesses run in virtual time.

use std::cell::Cell;
use std::time::{Duration, Instant, SystemTime};

/// A point in monotonic time, expressed as the time since an origin that stays fixed while the
/// process runs.
///
/// Points in time of different processes can't be compared.
pub type MonoTime = Duration;

/// A source of time.
pub trait Clock {
    /// Returns the monotonic time, which is unaffected by steps of the wall clock.
    fn now(&self) -> MonoTime;

    /// Returns the wall-clock time, for audit records and logs only.
    fn wall(&self) -> SystemTime;
}

/// The clocks of the operating system, with [`Instant`] as monotonic time.
#[derive(Clone, Copy, Debug)]
pub struct SystemClock {
    origin: Instant,
}

impl SystemClock {
    /// Creates a clock whose monotonic origin is the current time.
    #[must_use]
    pub fn new() -> Self {
        Self {
            origin: Instant::now(),
        }
    }
}

impl Default for SystemClock {
    fn default() -> Self {
        Self::new()
    }
}

impl Clock for SystemClock {
    fn now(&self) -> MonoTime {
        self.origin.elapsed()
    }

    fn wall(&self) -> SystemTime {
        SystemTime::now()
    }
}

/// A clock that moves only when [`advance`](Self::advance) is called.
///
/// # Examples
///
/// ```
/// use chicory_types::{Clock, ManualClock};
/// use std::time::Duration;
///
/// let clock = ManualClock::default();
/// clock.advance(Duration::from_millis(5));
/// assert_eq!(clock.now(), Duration::from_millis(5));
/// ```
#[derive(Debug, Default)]
pub struct ManualClock {
    elapsed: Cell<Duration>,
}

impl ManualClock {
    /// Moves the clock forward by `step`.
    pub fn advance(&self, step: Duration) {
        self.elapsed.set(self.elapsed.get() + step);
    }
}

impl Clock for ManualClock {
    fn now(&self) -> MonoTime {
        self.elapsed.get()
    }

    fn wall(&self) -> SystemTime {
        SystemTime::UNIX_EPOCH + self.elapsed.get()
    }
}
