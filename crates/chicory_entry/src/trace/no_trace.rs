//! No trace.

use chicory_dispatch::Event;
use chicory_types::MonoTime;

use crate::trace::EventTrace;

/// Records nothing.
#[derive(Clone, Copy, Debug)]
pub(crate) struct NoTrace;

impl EventTrace for NoTrace {
    fn record(&mut self, _now: MonoTime, _event: &Event) {}
}
