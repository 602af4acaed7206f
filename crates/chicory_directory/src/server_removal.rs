//! How a backend server went.

use chicory_ranges::ServerIncarnation;

/// Why a life of a backend server is no longer in the directory.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum RemovalCause {
    /// It said that it leaves.
    Left,
    /// A later start under its id, or another server at its address, has announced itself.
    Replaced,
    /// It was not heard of for a while; it may come back.
    Silent,
}

/// A life of a backend server that is no longer in the directory.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServerRemoval {
    /// The life.
    pub incarnation: ServerIncarnation,
    /// Why.
    pub cause: RemovalCause,
}
