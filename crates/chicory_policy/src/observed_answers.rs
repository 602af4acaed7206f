//! What one sender observed of a server's answers.

use std::time::Duration;

/// What one sender observed of a server's answers since its previous report.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ObservedAnswers {
    /// Requests of the sender that are at the server now.
    pub in_flight: u32,
    /// Requests that the server answered.
    pub answered: u32,
    /// Sum of the times that the answered requests took.
    pub answer_time: Duration,
}
