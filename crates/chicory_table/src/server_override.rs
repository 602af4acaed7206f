//! What the table says of a single backend server.

use serde::{Deserialize, Serialize};

/// What the table says of a single backend server; `None` leaves the service's value.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServerOverride {
    /// Relative share of load; 0 drains the server.
    pub weight: Option<u32>,
    /// Requests in flight.
    pub max_in_flight: Option<u32>,
    /// Open connections.
    pub max_connections: Option<u32>,
    /// Waiting requests.
    pub queue_limit: Option<u32>,
    /// Requests admitted per second.
    pub rate_limit_per_s: Option<u32>,
}
