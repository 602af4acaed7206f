//! Admission to backend servers whose keys are asked for more than the servers can do.

use chicory_ranges::ServerIncarnation;

/// The fraction of the requests for one server's keys that may be sent to it.
#[derive(Clone, Debug, PartialEq)]
pub struct AdmittedFraction {
    /// The server that owns the keys.
    pub incarnation: ServerIncarnation,
    /// Fraction of the requests, from 0 to 1.
    pub fraction: f64,
}
