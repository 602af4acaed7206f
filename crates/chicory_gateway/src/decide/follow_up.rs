//! A server that can follow an attempt which lasts too long.

use std::net::SocketAddr;
use std::time::Duration;

use chicory_ranges::ServerIncarnation;

/// A server that can follow an attempt which lasts too long, once a connection to it is open.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FollowUp {
    /// Incarnation of the server.
    pub incarnation: ServerIncarnation,
    /// Address of the server.
    pub address: SocketAddr,
    /// Longest time to open a new connection.
    pub connect_timeout: Duration,
    /// Time for which a new connection has to stay open. If the server closes it within this time,
    /// it has rejected it.
    pub settle_time: Duration,
}

/// What to do about an attempt that lasts too long.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FollowUpStep {
    /// Open a connection to another server, and abandon the attempt once it is open.
    Connect(FollowUp),
    /// Go on waiting for the answer: no other server can take the request.
    Continue,
    /// Abandon the attempt: its answer could not arrive.
    Abandon,
}
