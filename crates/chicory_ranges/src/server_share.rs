//! What a server owns, against what it can do.

/// Load of the keys that a server owns, and the work that it can do.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ServerShare {
    pub(crate) load: f64,
    pub(crate) capacity: f64,
}

impl ServerShare {
    /// Load for each unit of capacity.
    pub(crate) fn use_ratio(self) -> f64 {
        self.load / self.capacity
    }
}
