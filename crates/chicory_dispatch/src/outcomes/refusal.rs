//! A final refusal; it goes out at once.

use std::time::Duration;

use crate::{Outcome, RefusalReason};

/// A final refusal; it goes out at once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// Whether the request ran.
    pub outcome: Outcome,
    /// Why it was refused.
    pub reason: RefusalReason,
    /// When to come back; `None` where a resend can't help.
    pub retry_after: Option<Duration>,
}
