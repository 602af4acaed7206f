//! The result of the admission of a request.

use super::{Refusal, RequestTicket};

/// Result of [`Gateway::admit`](crate::Gateway::admit).
#[derive(Debug)]
pub enum Admission {
    /// The request is admitted; [`Gateway::next_step`](crate::Gateway::next_step) returns what to
    /// do for it.
    Accepted(RequestTicket),
    /// The request is not served.
    Refused(Refusal),
}
