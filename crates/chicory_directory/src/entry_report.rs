//! Periodic reports of entry VMs to the leader.

use std::time::Duration;

use chicory_ranges::{Key, ServerIncarnation};
use chicory_types::ServiceName;

use crate::{PermitRequest, ReportedLimit, StatedLoad};

/// Hash of everything that makes two requests equal for a backend server.
pub type RequestFingerprint = u64;

/// Number of requests for one key since the previous report.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KeyCount {
    /// The keyed service.
    pub service: ServiceName,
    /// The key.
    pub key: Key,
    /// Number of requests.
    pub request_count: u32,
}

/// Work that one backend server did for the entry VM since the previous report.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServerLoad {
    /// The server.
    pub incarnation: ServerIncarnation,
    /// Requests in flight at the server now.
    pub in_flight: u32,
    /// Requests that the server answered.
    pub answered: u32,
    /// Requests that the server rejected because it was full: it reset the connection, or answered
    /// that it is full.
    pub shed: u32,
    /// Sum of the times that the answered requests took.
    pub service_time: Duration,
    /// The load that the server stated last; `None` if it has stated none, and from entry VMs of
    /// earlier releases.
    pub stated: Option<StatedLoad>,
}

/// A request whose backend server broke the connection while the request ran.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PoisonReport {
    /// The request.
    pub fingerprint: RequestFingerprint,
    /// The server that broke the connection.
    pub life: ServerIncarnation,
}

/// A pause that a backend server asked the entry VM for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServerRest {
    /// The server.
    pub incarnation: ServerIncarnation,
    /// What was left of the pause when the report was created.
    pub left: Duration,
}

/// A report of an entry VM to the leader, sent periodically and when limits or permits are to be
/// reported at once.
#[derive(Clone, Debug, Default, PartialEq)]
#[expect(
    clippy::struct_excessive_bools,
    reason = "each one stands for a field of the message"
)]
pub struct EntryReport {
    /// Number of requests for each key.
    pub keys: Vec<KeyCount>,
    /// Work of each backend server.
    pub servers: Vec<ServerLoad>,
    /// Requests that may crash backend servers.
    pub poison: Vec<PoisonReport>,
    /// Rate limits that servers named or lifted since the previous report.
    pub limits: Vec<ReportedLimit>,
    /// Permits that requests of callers wait for.
    pub permits: Vec<PermitRequest>,
    /// Pauses that servers asked for since the previous report.
    pub rests: Vec<ServerRest>,
    /// Servers that said in answers that they are about to end.
    pub leaving: Vec<ServerIncarnation>,
    /// Whether the entry VM understands [`ServerLimitUpdate`](crate::ServerLimitUpdate). Entry VMs
    /// of earlier releases don't.
    pub accepts_server_limits: bool,
    /// Whether the entry VM relays requests for others: it reaches backend servers, and is not about
    /// to stop.
    pub can_relay: bool,
    /// Whether the entry VM understands [`ControlMessage::ServerShares`](crate::ControlMessage).
    pub accepts_server_shares: bool,
    /// Whether the entry VM understands [`ControlMessage::OwnerAdmission`](crate::ControlMessage).
    pub accepts_owner_admission: bool,
}

impl EntryReport {
    /// Whether the report has only limits and permits, so that it was not sent periodically.
    #[must_use]
    pub fn is_about_limits_only(&self) -> bool {
        let has_limits = !self.limits.is_empty() || !self.permits.is_empty();
        has_limits
            && self.keys.is_empty()
            && self.servers.is_empty()
            && self.poison.is_empty()
            && self.leaving.is_empty()
            && self.rests.is_empty()
    }
}
