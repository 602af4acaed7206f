//! An announcement of a backend server, sent again at each renewal.

use chicory_ownership::ServerRecord;
use serde::{Deserialize, Serialize};

/// An announcement of a backend server, sent again at each renewal.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Announcement {
    /// Identifier of the exchange in this process.
    pub exchange: u64,
    /// What the server says of itself.
    pub record: ServerRecord,
    /// Version of the grants that the server has; 0 for none.
    pub known_grants_version: u64,
}
