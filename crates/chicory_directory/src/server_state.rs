//! Whether a backend server accepts new work.

/// Whether a backend server accepts new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ServerState {
    /// Accepts new work.
    Ready,
    /// Finishes the work that it has and accepts no more. The same incarnation never becomes ready
    /// again.
    Draining,
}
