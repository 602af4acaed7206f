//! Removals of backend servers from the directory.

use chicory_ranges::ServerIncarnation;

/// Why an incarnation of a backend server is no longer in the directory.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum RemovalCause {
    /// The server announced that it leaves, or drained and was not heard of any more.
    Left,
    /// A later incarnation with the same id, or another server at the same address, announced
    /// itself.
    Replaced,
    /// The server was unresponsive: no announcement was received for some time. It may announce
    /// itself again.
    Silent,
}

/// The removal of an incarnation of a backend server from the directory.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServerRemoval {
    /// The incarnation that was removed.
    pub incarnation: ServerIncarnation,
    /// Why it was removed.
    pub cause: RemovalCause,
}

impl ServerRemoval {
    /// Returns whether the incarnation of the server that started then, in milliseconds since the
    /// Unix epoch, does not come back after this removal.
    pub(crate) fn ends(&self, started_at_ms: u64) -> bool {
        match self.cause {
            RemovalCause::Silent => self.incarnation.started_at_ms > started_at_ms,
            RemovalCause::Left | RemovalCause::Replaced => {
                self.incarnation.started_at_ms >= started_at_ms
            }
        }
    }
}
