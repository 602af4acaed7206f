//! Input of the planner about one backend server.

use crate::ServerIncarnation;

/// A backend server that may own keys.
#[derive(Clone, Debug, PartialEq)]
pub struct PlannedServer {
    /// The incarnation of the server.
    pub incarnation: ServerIncarnation,
    /// Work that it can do, relative to other servers of its service.
    pub capacity: f64,
}
