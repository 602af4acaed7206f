//! A server whose process has ended.

use chicory_ranges::ServerIncarnation;

/// A server whose process has ended, because a later one has its id or its address.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EndedServer {
    /// The incarnation that has ended.
    pub incarnation: ServerIncarnation,
    /// The incarnation of the same server that now has its address: grants name a server by its id,
    /// so those for the former incarnation may have reached this one already.
    pub successor: Option<ServerIncarnation>,
}
