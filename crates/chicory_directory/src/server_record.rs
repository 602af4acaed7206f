//! One backend server.

use std::net::SocketAddr;
use std::time::Duration;

use chicory_ranges::ServerIncarnation;
use chicory_types::{ServiceName, ZoneName};

use crate::ServerState;

/// What a backend server announced of itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServerRecord {
    /// Its id and start.
    pub incarnation: ServerIncarnation,
    /// The service that it belongs to.
    pub service: ServiceName,
    /// Address of its HTTP interface.
    pub address: SocketAddr,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Version of its software.
    pub software_version: String,
    /// Requests that it works on at once.
    pub slots: u32,
    /// Whether it takes new work.
    pub state: ServerState,
    /// How much longer it stayed slow after its start, when it first announced itself.
    pub cold_for: Duration,
}

impl ServerRecord {
    /// Whether `other` says the same but for times that go by.
    #[must_use]
    pub fn equals_except_cold_for(&self, other: &Self) -> bool {
        let aged = Self {
            cold_for: self.cold_for,
            ..other.clone()
        };
        *self == aged
    }
}
