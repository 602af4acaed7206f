//! What processes and backend servers say of themselves.

use chicory_types::{Incarnation, ServerId, ServiceName, VmId, ZoneName};
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

/// What an entry process said of itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EntryRecord {
    /// VM of the process.
    pub vm: VmId,
    /// Start of the process.
    pub incarnation: Incarnation,
    /// Host and port for relays from other entry processes.
    pub peer_address: String,
    /// Host and port for announcements of backend servers.
    pub announce_address: String,
}
