//! What may be repeated.

/// Whether a request may run more than once, and how large its answers are.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum RequestKind {
    /// Idempotent: may run more than once.
    Idempotent,
    /// Runs at most once for each attempt of a caller.
    Order,
    /// Idempotent, with large answers.
    Download,
}

impl RequestKind {
    /// Whether a request that may have run can be sent again.
    #[must_use]
    pub fn is_repeatable(self) -> bool {
        !matches!(self, Self::Order)
    }
}
