//! One event of a trace.

use std::time::Duration;

use chicory_types::MonoTime;
use serde::{Deserialize, Serialize};

/// One event of a trace.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TraceLine<E> {
    /// When the event was reduced, in nanoseconds of the process's monotonic time.
    pub now_ns: u64,
    /// The event.
    pub event: E,
}

impl<E> TraceLine<E> {
    /// Returns when the event was reduced.
    #[must_use]
    pub fn now(&self) -> MonoTime {
        Duration::from_nanos(self.now_ns)
    }
}
