//! Whether the process takes new work.

use chicory_types::MonoTime;

/// Whether the process takes new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Life {
    /// It does.
    Running,
    /// It was asked to stop at this time.
    Stopping(MonoTime),
    /// It has said that it may exit.
    Stopped,
}
