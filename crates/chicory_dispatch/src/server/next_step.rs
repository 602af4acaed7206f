//! What to do next for a backend server's queue.

use chicory_types::RequestId;

use crate::ConnectionId;

/// What to do next for a server's queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum NextStep {
    /// Write this request to this connection.
    Write(RequestId, ConnectionId),
    /// Refuse this request: it can't end before its deadline.
    Hopeless(RequestId),
    /// Open a connection.
    Connect,
    /// Nothing.
    Wait,
}
