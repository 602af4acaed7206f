//! The phase of an open request.

use crate::request::{RelayExchange, ServerExchange};
use crate::view::ServerIndex;

/// The phase of an open request.
#[derive(Clone, Debug)]
pub(crate) enum Phase {
    /// It has to be routed to a server, now or after a retry pause.
    Placing,
    /// Its claim was requested; on a grant it enters the queue of this server.
    Claiming(ServerIndex),
    /// It waits in the queue of this server.
    Queued(ServerIndex),
    /// It was sent to a server.
    InFlight(ServerExchange),
    /// It was relayed to another entry process.
    Relayed(RelayExchange),
}
