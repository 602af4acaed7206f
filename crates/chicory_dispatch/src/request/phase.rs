//! Where an open request is.

use crate::request::{RelayLeg, ServerExchange};
use crate::view::ServerIndex;

/// Where an open request is.
#[derive(Clone, Debug)]
pub(crate) enum Phase {
    /// It has to find a server, now or after a pause.
    Placing,
    /// Its claim was asked for.
    Claiming(ServerIndex),
    /// It waits for a server.
    Queued(ServerIndex),
    /// It was written to a server.
    InFlight(ServerExchange),
    /// It was relayed.
    Relayed(RelayLeg),
}
