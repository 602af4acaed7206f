//! The load that a backend server states in an answer.

/// The load that a backend server states in an answer. Nothing guarantees that it is true.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct StatedLoad {
    /// Requests that are being processed.
    pub running: u32,
    /// Requests that wait.
    pub waiting: u32,
    /// Number of requests that the server processes at a time.
    pub slots: u32,
    /// Time that work takes on the server's VM now, in percent of the usual time; `None` if the
    /// server does not state it.
    pub work_time_percent: Option<u32>,
}

impl StatedLoad {
    /// Returns the number of requests that are being processed or wait.
    #[must_use]
    pub fn total(&self) -> u32 {
        self.running.saturating_add(self.waiting)
    }
}
