//! The next action for the queue of a backend server.

use chicory_types::RequestId;

use crate::ConnectionId;

/// The next action for the queue of a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum NextStep {
    /// Send this request on this connection.
    Write(RequestId, ConnectionId),
    /// Refuse this request, because it can't be answered before its deadline.
    MissesDeadline(RequestId),
    /// Open a connection.
    Connect,
    /// Do nothing for now.
    Wait,
}
