//! Removals of backend servers from the directory.

use chicory_ranges::ServerIncarnation;

/// Why an incarnation of a backend server is no longer in the directory.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum RemovalCause {
    /// The server announced that it leaves.
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
