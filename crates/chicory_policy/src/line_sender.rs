//! A sender that gets a part of the slots of backend servers.

use chicory_types::ZoneName;

/// A sender that gets a part of the slots of backend servers.
#[derive(Clone, Debug, PartialEq)]
pub struct LineSender {
    /// Availability zone of the sender.
    pub zone: ZoneName,
    /// Requests per second. It is finite and not negative.
    pub demand: f64,
}
