//! Messages of `POST /.chicory/announce`.

use serde::{Deserialize, Serialize};

/// What a backend server reports about itself.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct AnnounceRequest {
    /// Service that it serves.
    pub service: String,
    /// Name of the backend server.
    pub server: String,
    /// Host and port for requests.
    pub address: String,
    /// Availability zone.
    pub zone: String,
    /// Requests that it runs at a time.
    pub slots: u32,
    /// Connections that it accepts.
    pub connections: u32,
    /// Incarnation of the server; a later start has a greater number.
    pub incarnation: u64,
    /// Whether it checks fencing tokens.
    pub checks_grants: bool,
    /// Whether it drains, so that it wants no new requests.
    pub draining: bool,
    /// Version of the grants that it has; 0 for none.
    pub known_grants_version: u64,
}

/// The answer to an announcement.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct AnnounceAnswer {
    /// Time until the next announcement, in milliseconds.
    pub renew_after_ms: u64,
    /// Address of the dispatcher, which gets the next announcement, if known.
    pub dispatcher: Option<String>,
    /// Length of the lease in milliseconds, counted from before the announcement was sent.
    pub lease_ms: u64,
    /// Version of the grants.
    pub grants_version: u64,
    /// All grants; absent if the server already has this version.
    pub grants: Option<Vec<GrantMessage>>,
}

/// A contiguous run of granted slots.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GrantMessage {
    /// First slot.
    pub first: u16,
    /// Last slot, included.
    pub last: u16,
    /// Fencing token.
    pub token: String,
}
