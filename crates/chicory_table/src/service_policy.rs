//! What the table says of a whole service.

use std::collections::BTreeSet;
use std::time::Duration;

use chicory_types::ZoneName;
use serde::{Deserialize, Serialize};

use crate::CustodyLease;

/// What the table says of a whole service, the row whose server is `*`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServicePolicy {
    /// Relative share of load of a backend server without a row of its own.
    pub weight: u32,
    /// Requests in flight per backend server; 0 stands for the count the server announced.
    pub max_in_flight: u32,
    /// Connections per backend server; 0 stands for the count the server announced.
    pub max_connections: u32,
    /// Requests that may wait for one backend server.
    pub queue_limit: u32,
    /// Requests admitted per second and entry VM; 0 stands for no limit.
    pub rate_limit_per_s: u32,
    /// Whether each key belongs to a single backend server.
    pub keyed: bool,
    /// Whether a request may safely run more than once.
    pub idempotent: bool,
    /// Deadline of requests that state none.
    pub deadline: Duration,
    /// Custody lease of the service's slots.
    pub custody_lease: CustodyLease,
    /// Availability zones that the service runs in.
    pub zones: BTreeSet<ZoneName>,
}

impl ServicePolicy {
    /// Whether the service's slots are under custody: keyed services for their keys, services
    /// that aren't idempotent for their order claims.
    #[must_use]
    pub fn has_custody(&self) -> bool {
        self.keyed || !self.idempotent
    }
}
