//! What a backend server announced of itself.

use chicory_types::{Incarnation, ServerId, ServiceName, ZoneName};
use serde::{Deserialize, Serialize};

/// What a backend server announced of itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServerRecord {
    /// Name of the backend server.
    pub server: ServerId,
    /// Service that it serves.
    pub service: ServiceName,
    /// Host and port for requests.
    pub address: String,
    /// Availability zone that it runs in.
    pub zone: ZoneName,
    /// Requests that it works on at a time.
    pub slots: u32,
    /// Connections that it accepts.
    pub connections: u32,
    /// Start of the server.
    pub incarnation: Incarnation,
    /// Whether it refuses requests whose fencing token isn't current.
    pub checks_grants: bool,
    /// Whether it asks for no new work.
    pub draining: bool,
}
