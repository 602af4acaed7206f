//! The final refusal of a request.

use std::time::Duration;

use crate::{Outcome, RefusalReason};

/// The final refusal of a request, which is sent at once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// Whether the request ran.
    pub outcome: Outcome,
    /// Why it was refused.
    pub reason: RefusalReason,
    /// Time after which a resend may succeed; `None` if it can't succeed.
    pub retry_after: Option<Duration>,
}
