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
    /// When the exchange last made progress, on the request or on the answer.
    pub(crate) last_contact_at: MonoTime,
    /// Whether the answer is being forwarded.
    pub(crate) is_forwarding: bool,
    /// Whether the status of the answer counts as a failure of the server.
    pub(crate) is_failure: bool,
}
