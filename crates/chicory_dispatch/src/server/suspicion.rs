//! The reason why a backend server is probed.

use chicory_types::MonoTime;

/// The reason why a backend server is probed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Suspicion {
    /// An exchange has made no progress since this time.
    Unresponsive(MonoTime),
    /// The connection of an exchange broke before its answer, or a connection could not be opened.
    Broken,
    /// The server has not announced itself for several intervals.
    MissedAnnouncements,
}
