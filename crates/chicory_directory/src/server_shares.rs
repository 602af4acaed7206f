//! Parts of the slots of backend servers that an entry VM prefers.

use chicory_ranges::ServerIncarnation;
use chicory_types::ServiceName;

/// The part of a server's slots that one entry VM prefers.
#[derive(Clone, Debug, PartialEq)]
pub struct ServerShare {
    /// The server.
    pub incarnation: ServerIncarnation,
    /// Number of slots, which may be a fraction. It is finite and not negative.
    pub slots: f64,
    /// Speed of the server relative to the median of its service. It is finite and positive.
    pub speed: f64,
}

/// The parts of the slots of one service's servers that one entry VM prefers.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceShares {
    /// The service.
    pub service: ServiceName,
    /// The part of each server of which the entry VM has one.
    pub shares: Vec<ServerShare>,
}
