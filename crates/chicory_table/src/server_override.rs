//! Values of the table for a single backend server.

use serde::{Deserialize, Serialize};

/// Values of the table for a single backend server; `None` keeps the value of the service.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServerOverride {
    /// Relative share of the load; 0 drains the server.
    pub weight: Option<u32>,
    /// Maximum number of requests in flight.
    pub max_in_flight: Option<u32>,
    /// Maximum number of open connections.
    pub max_connections: Option<u32>,
    /// Maximum number of waiting requests.
    pub queue_limit: Option<u32>,
    /// Maximum number of requests admitted per second.
    pub rate_limit_per_s: Option<u32>,
}
