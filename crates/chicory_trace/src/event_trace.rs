//! The interface through which the events of a reducer are recorded.

use chicory_types::MonoTime;

/// A recorder of every event of a reducer, in the order in which the events are reduced.
pub trait EventTrace<E> {
    /// Records an event before it is reduced.
    fn record(&mut self, now: MonoTime, event: &E);
}

/// An [`EventTrace`] that records nothing.
#[derive(Clone, Copy, Debug)]
pub struct NoTrace;

impl<E> EventTrace<E> for NoTrace {
    fn record(&mut self, _now: MonoTime, _event: &E) {}
}
