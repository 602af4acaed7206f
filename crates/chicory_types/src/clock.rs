//! The clock as an interface, so that tests and other harnesses can run in virtual time.

use std::cell::Cell;
use std::time::{Duration, Instant, SystemTime};

/// A point of monotonic time, as the span since an origin fixed for the life of the process.
///
/// Points of two processes can't be compared.
pub type MonoTime = Duration;

/// A source of time.
pub trait Clock {
    /// Monotonic time; steps of the wall clock don't change it.
    fn now(&self) -> MonoTime;

    /// Wall-clock time, for audit records and logs only.
    fn wall(&self) -> SystemTime;
}

/// The machine's own clocks.
#[derive(Clone, Copy, Debug)]
pub struct SystemClock {
    origin: Instant,
}

impl SystemClock {
    /// Creates a clock whose monotonic origin is this moment.
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

/// A clock that moves only when it is told to.
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
