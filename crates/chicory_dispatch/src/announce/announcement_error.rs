//! The reason why an announcement was refused.

use chicory_types::{ServiceName, ZoneName};
use snafu::Snafu;

/// The reason why an announcement was refused.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(visibility(pub))]
pub enum AnnouncementError {
    /// The server announced another availability zone.
    #[snafu(display("this VM is in zone {expected}, the server announced zone {found}"))]
    WrongZone {
        /// The availability zone of this process.
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
    /// An incarnation of the server announced itself after a later incarnation had.
    #[snafu(display("a later start of server {server} is known"))]
    SupersededIncarnation {
        /// The server.
        server: String,
    },
}
