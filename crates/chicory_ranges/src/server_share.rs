//! Load of a server, compared to its capacity.

/// Load of the keys that a server owns, and the work that it can do.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ServerShare {
    pub(crate) load: f64,
    pub(crate) capacity: f64,
}

impl ServerShare {
    /// Returns the load for each unit of capacity.
    pub(crate) fn utilization(self) -> f64 {
        self.load / self.capacity
    }
}
