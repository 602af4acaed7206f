//! An exchange with a backend server.

use chicory_types::MonoTime;

use crate::ConnectionId;
use crate::view::ServerIndex;

/// An exchange with a backend server.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ServerExchange {
    pub(crate) server: ServerIndex,
    pub(crate) connection: ConnectionId,
    pub(crate) written_at: MonoTime,
    /// When the exchange last made progress.
    pub(crate) heard_at: MonoTime,
    /// Whether its answer is being passed on.
    pub(crate) is_forwarding: bool,
    /// Whether the answer's status is a failure of the server.
    pub(crate) is_failure: bool,
}
