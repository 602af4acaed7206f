//! A backend server as the planner sees it.

use crate::ServerIncarnation;

/// A backend server that may own keys.
#[derive(Clone, Debug, PartialEq)]
pub struct PlannedServer {
    /// The server.
    pub incarnation: ServerIncarnation,
    /// Work that it can do, relative to others of its service.
    pub capacity: f64,
}
