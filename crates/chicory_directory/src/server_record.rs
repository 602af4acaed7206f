//! The directory's record of one backend server.

use std::net::SocketAddr;
use std::time::Duration;

use chicory_ranges::ServerIncarnation;
use chicory_types::{ServiceName, ZoneName};

use crate::ServerState;

/// What a backend server announced about itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServerRecord {
    /// Id and start time of the server.
    pub incarnation: ServerIncarnation,
    /// The service that the server belongs to.
    pub service: ServiceName,
    /// Address of the server's HTTP interface.
    pub address: SocketAddr,
    /// Availability zone of the server.
    pub zone: ZoneName,
    /// Version of the server's software.
    pub software_version: String,
    /// Number of requests that the server processes at a time.
    pub slots: u32,
    /// Whether the server accepts new work.
    pub state: ServerState,
    /// How much longer the server stays cold, as of its announcement. The record is replaced when
    /// the server turns cold or warm and when it will stay cold for longer than stated before, so
    /// the value in the directory can be old.
    pub cold_for: Duration,
}

impl ServerRecord {
    /// Returns whether `other` is equal except for `cold_for`, which shrinks from one announcement
    /// of a server to the next.
    #[must_use]
    pub fn equals_except_cold_for(&self, other: &Self) -> bool {
        let with_same_cold_for = Self {
            cold_for: self.cold_for,
            ..other.clone()
        };
        *self == with_same_cold_for
    }
}
