//! The overload of a server that owns keys.

/// The overload of a server that owns keys.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct OwnerOverload {
    /// Fraction of the requests for its keys that may be sent, below 1.
    pub fraction: f64,
    /// Requests for its keys that arrive in a second at all senders together.
    pub demand_per_s: f64,
    /// Requests that it can answer in a second.
    pub capacity_per_s: f64,
}
