//! What an entry VM tells the leader from time to time.

use std::time::Duration;

use chicory_ranges::{Key, ServerIncarnation};
use chicory_types::ServiceName;

/// Hash of what makes two requests the same to a backend server.
pub type RequestFingerprint = u64;

/// Requests for one key since the former report.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KeyCount {
    /// The keyed service.
    pub service: ServiceName,
    /// The key.
    pub key: Key,
    /// Number of requests.
    pub request_count: u32,
}

/// Work that one backend server did for the entry VM since the former report.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServerLoad {
    /// The server.
    pub incarnation: ServerIncarnation,
    /// Requests that it holds now.
    pub in_flight: u32,
    /// Requests that it answered.
    pub answered: u32,
    /// Requests that it turned away because it was full, or said so.
    pub shed: u32,
    /// Sum of the times that these took.
    pub service_time: Duration,
}

/// A request whose backend server broke off while it ran.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PoisonReport {
    /// The request.
    pub fingerprint: RequestFingerprint,
    /// The server that broke off.
    pub life: ServerIncarnation,
}

/// What an entry VM tells the leader from time to time.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct EntryReport {
    /// Requests for each key.
    pub keys: Vec<KeyCount>,
    /// Work of each backend server.
    pub servers: Vec<ServerLoad>,
    /// Requests that may crash backend servers.
    pub poison: Vec<PoisonReport>,
}
