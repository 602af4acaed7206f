//! A backend server whose slots are divided among senders.

use chicory_types::ZoneName;

/// A backend server whose slots are divided among senders.
#[derive(Clone, Debug, PartialEq)]
pub struct LineServer<S> {
    /// Id of the server.
    pub id: S,
    /// Availability zone of the server.
    pub zone: ZoneName,
    /// Number of requests that the server processes at a time.
    pub slots: u32,
    /// Speed relative to other servers. It is finite and positive.
    pub speed: f64,
}
