//! Commands of the replicated log.

use chicory_ranges::RangeMove;
use chicory_routes::RouteTable;

use crate::{ServerRecord, ServerRemoval};

/// A command that every control VM applies in the same order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SiteCommand {
    /// Puts a route table in force unless a higher version is.
    PutRoutes(RouteTable),
    /// Takes note of a server or of its new state.
    PutServer(ServerRecord),
    /// Removes a server.
    RemoveServer(ServerRemoval),
    /// Gives keys to another owner.
    MoveRange(RangeMove),
}
