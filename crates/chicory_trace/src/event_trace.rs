//! Where events are recorded.

use chicory_types::MonoTime;

/// Records every event of a reducer, in the order in which they are reduced.
pub trait EventTrace<E> {
    /// Records an event before it is reduced.
    fn record(&mut self, now: MonoTime, event: &E);
}

/// Records nothing.
#[derive(Clone, Copy, Debug)]
pub struct NoTrace;

impl<E> EventTrace<E> for NoTrace {
    fn record(&mut self, _now: MonoTime, _event: &E) {}
}
