//! A backend server that a request may be sent to.

/// A backend server that a request may be sent to, as its sender knows it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SlotCandidate {
    /// The sender's part of the slots, which may be a fraction.
    pub own_slots: f64,
    /// Number of slots of the server.
    pub slots: u32,
    /// Requests of the sender at the server.
    pub in_flight: u32,
    /// Speed relative to other servers of the service. It is finite and positive.
    pub speed: f64,
    /// Probability that all slots of the server are taken.
    pub full_probability: f64,
}
