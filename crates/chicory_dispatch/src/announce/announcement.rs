//! An announcement of a backend server, repeated with each renewal of its lease.

use chicory_ownership::ServerRecord;
use serde::{Deserialize, Serialize};

/// An announcement of a backend server, repeated with each renewal of its lease.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Announcement {
    /// Identifier of the exchange in this process.
    pub exchange: u64,
    /// The record that the server reports of itself.
    pub record: ServerRecord,
    /// Version of the grants that the server has; 0 if it has none.
    pub known_grants_version: u64,
}
