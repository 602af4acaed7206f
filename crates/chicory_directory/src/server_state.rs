//! Whether a backend server takes new work.

/// Whether a backend server takes new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ServerState {
    /// Takes new work.
    Ready,
    /// Finishes what it has; within one life it never becomes ready again.
    Draining,
}
