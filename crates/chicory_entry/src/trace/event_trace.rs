//! Where events of the reducer are recorded.

use chicory_dispatch::Event;
use chicory_types::MonoTime;

/// Records every event of the reducer with its time.
pub(crate) trait EventTrace: Send {
    /// Records an event before it is reduced.
    fn record(&mut self, now: MonoTime, event: &Event);
}
