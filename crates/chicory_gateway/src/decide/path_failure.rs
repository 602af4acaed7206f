//! How a server could not be reached on a new connection.

/// How a server could not be reached on a new connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct PathFailure {
    /// Whether the connection was refused, rather than not answered in time.
    pub(super) is_refused: bool,
    /// Whether a probe shows it, rather than an attempt.
    pub(super) is_probe: bool,
}
