//! Calls of operators and backend servers.

use chicory_routes::RouteTable;
use chicory_types::{ServerId, ZoneName};

use crate::ServerRecord;

/// A call that the leader answers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SiteCall {
    /// A backend server announces itself.
    Announce(ServerRecord),
    /// A backend server leaves.
    Leave {
        /// Id of the server.
        server: ServerId,
        /// Start time of the server in milliseconds since the Unix epoch, if the server stated it.
        started_at_ms: Option<u64>,
    },
    /// An operator replaces the route table.
    PutRoutes(RouteTable),
    /// An operator reads the route table.
    ReadRoutes,
    /// An operator evacuates an availability zone.
    BeginEvacuation(ZoneName),
    /// An operator ends the evacuation of an availability zone.
    FinishEvacuation(ZoneName),
    /// An operator reads which availability zones are evacuated.
    ReadEvacuations,
}
