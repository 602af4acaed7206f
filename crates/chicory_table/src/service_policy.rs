//! Values of the table for a whole service.

use std::collections::BTreeSet;
use std::time::Duration;

use chicory_types::ZoneName;
use serde::{Deserialize, Serialize};

use crate::CustodyLease;

/// Values of the table for a whole service: the row whose server is `*`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServicePolicy {
    /// Relative share of the load of a backend server without a row of its own.
    pub weight: u32,
    /// Maximum number of requests in flight per backend server; 0 means the number that the server
    /// announced.
    pub max_in_flight: u32,
    /// Maximum number of connections per backend server; 0 means the number that the server
    /// announced.
    pub max_connections: u32,
    /// Maximum number of requests that wait for one backend server.
    pub queue_limit: u32,
    /// Maximum number of requests admitted per second and entry VM; 0 means no limit.
    pub rate_limit_per_s: u32,
    /// Whether each key belongs to a single backend server.
    pub keyed: bool,
    /// Whether a request may safely run more than once.
    pub idempotent: bool,
    /// Deadline of requests that don't state one.
    pub deadline: Duration,
    /// Custody lease of the service's slots.
    pub custody_lease: CustodyLease,
    /// Availability zones that the service runs in.
    pub zones: BTreeSet<ZoneName>,
}

impl ServicePolicy {
    /// Returns whether availability zones have custody of the service's slots.
    ///
    /// Keyed services need custody for their keys, and services that aren't idempotent need it for
    /// the claims of their orders.
    #[must_use]
    pub fn has_custody(&self) -> bool {
        self.keyed || !self.idempotent
    }
}
