//! Contents of a backend server's announcement.

use chicory_types::{Incarnation, ServerId, ServiceName, ZoneName};
use serde::{Deserialize, Serialize};

/// Contents of a backend server's announcement.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServerRecord {
    /// Name of the backend server.
    pub server: ServerId,
    /// Service that it belongs to.
    pub service: ServiceName,
    /// Host and port for requests.
    pub address: String,
    /// Availability zone that it runs in.
    pub zone: ZoneName,
    /// Maximum number of requests that it processes concurrently.
    pub slots: u32,
    /// Maximum number of connections that it accepts.
    pub connections: u32,
    /// Incarnation of the server.
    pub incarnation: Incarnation,
    /// Whether it refuses requests whose fencing token is not current.
    pub checks_grants: bool,
    /// Whether it is draining and asks for no new work.
    pub draining: bool,
}
