//! Calls of operators and backend servers.

use chicory_routes::RouteTable;
use chicory_types::ServerId;

use crate::ServerRecord;

/// A call that the leader answers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SiteCall {
    /// A backend server announces itself.
    Announce(ServerRecord),
    /// A backend server leaves.
    Leave {
        /// Its id.
        server: ServerId,
        /// Its start in milliseconds since the Unix epoch, if it said so.
        started_at_ms: Option<u64>,
    },
    /// The operator replaces the route table.
    PutRoutes(RouteTable),
    /// The operator reads the route table.
    ReadRoutes,
}
