//! What is known of the load of one backend server.

use chicory_directory::StatedLoad;
use chicory_policy::Occupancy;
use chicory_types::MonoTime;

/// What is known of the load of one backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct KnownLoad {
    /// What the server stated last; `None` if it has only rejected requests.
    pub(crate) stated: Option<StatedLoad>,
    /// When an answer last stated it, or when the server last rejected a request.
    pub(crate) at: MonoTime,
    /// This entry VM's own requests in flight there at that time.
    pub(crate) own_in_flight: u32,
    /// Whether the server rejected the request, so that it is full whatever it states.
    pub(crate) was_rejected: bool,
}

impl KnownLoad {
    /// Returns how busy the server is. The number of slots comes from the directory, because a
    /// server may state none.
    pub(crate) fn occupancy(&self, slots: u32) -> Occupancy {
        let stated = self.stated.map_or(0, |stated| stated.total());
        let total = if self.was_rejected {
            stated.max(slots.saturating_add(self.own_in_flight))
        } else {
            stated
        };
        Occupancy::new(self.at, total, self.own_in_flight)
    }

    /// Whether the server states that as many requests wait as it can process.
    pub(crate) fn has_long_queue(&self, slots: u32) -> bool {
        let waiting = self.stated.map_or(0, |stated| stated.waiting);
        waiting >= slots.max(1)
    }
}
