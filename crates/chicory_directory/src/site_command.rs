//! Commands of the replicated log.

use chicory_ranges::RangeMove;
use chicory_routes::RouteTable;
use chicory_types::ZoneName;

use crate::{ServerRecord, ServerRemoval};

/// A command that every control VM applies in the same order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SiteCommand {
    /// Puts a route table in force, unless the one in force has the same or a higher version.
    PutRoutes(RouteTable),
    /// Adds a server, or changes its record.
    PutServer(ServerRecord),
    /// Removes a server.
    RemoveServer(ServerRemoval),
    /// Moves keys to another owner.
    MoveRange(RangeMove),
    /// Evacuates an availability zone: nothing more is sent to its servers.
    BeginEvacuation(ZoneName),
    /// Ends the evacuation of an availability zone.
    FinishEvacuation(ZoneName),
}
