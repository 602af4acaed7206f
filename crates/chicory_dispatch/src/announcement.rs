//! Announcements of backend servers and what they are answered.

use std::time::Duration;

use chicory_ownership::ServerRecord;
use chicory_types::{FencingToken, ServiceName, SlotRun, ZoneName};
use serde::{Deserialize, Serialize};
use snafu::Snafu;

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

/// A run of slots that the server may serve, with its fencing token.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct GrantedRun {
    /// The slots.
    pub run: SlotRun,
    /// Their token.
    pub token: FencingToken,
}

/// The answer to an announcement.
///
/// The grants hold for `lease` from before the server sent the announcement.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AnnouncementAnswer {
    /// When to announce again.
    pub renew_after: Duration,
    /// Host and port of the dispatcher, where the next announcement should go.
    pub dispatcher_address: Option<String>,
    /// Length of the grants' lease; zero from a process that isn't the server's dispatcher.
    pub lease: Duration,
    /// Version of the grants.
    pub grants_version: u64,
    /// All grants; `None` where the server has this version already.
    pub grants: Option<Vec<GrantedRun>>,
}

/// Why an announcement was refused.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(visibility(pub))]
pub enum AnnouncementError {
    /// The server names another availability zone.
    #[snafu(display("this VM is in zone {expected}, the server announced zone {found}"))]
    WrongZone {
        /// The zone of this process.
        expected: ZoneName,
        /// The announced zone.
        found: ZoneName,
    },
    /// The service isn't in the table.
    #[snafu(display("service {service} isn't in the table"))]
    UnknownService {
        /// The announced service.
        service: ServiceName,
    },
    /// An earlier start of the server announced itself after a later one.
    #[snafu(display("a later start of server {server} is known"))]
    SupersededIncarnation {
        /// The server.
        server: String,
    },
}
