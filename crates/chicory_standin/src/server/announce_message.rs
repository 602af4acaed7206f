//! Messages of `POST /.chicory/announce`.

use serde::{Deserialize, Serialize};

/// What a backend server says of itself.
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
    /// Requests that it works on at a time.
    pub slots: u32,
    /// Connections that it accepts.
    pub connections: u32,
    /// Start of the server; a later start has a greater number.
    pub incarnation: u64,
    /// Whether it checks fencing tokens.
    pub checks_grants: bool,
    /// Whether it asks for no new work.
    pub draining: bool,
    /// Version of the grants that it has; 0 for none.
    pub known_grants_version: u64,
}

/// The answer to an announcement.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct AnnounceAnswer {
    /// When to announce again, in milliseconds.
    pub renew_after_ms: u64,
    /// Where to announce next, if known.
    pub dispatcher: Option<String>,
    /// Length of the lease from before the announcement was sent, in milliseconds.
    pub lease_ms: u64,
    /// Version of the grants.
    pub grants_version: u64,
    /// All grants; absent where the server has this version already.
    pub grants: Option<Vec<GrantMessage>>,
}

/// A run of granted slots.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GrantMessage {
    /// First slot.
    pub first: u16,
    /// Last slot, included.
    pub last: u16,
    /// Fencing token.
    pub token: String,
}
