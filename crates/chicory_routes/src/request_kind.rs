//! What may be repeated.

/// Whether a request may run more than once, and whether it or its answer is large.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum RequestKind {
    /// Idempotent: may run more than once.
    Idempotent,
    /// Runs at most once for each attempt of a caller.
    Order,
    /// Idempotent, with large answers.
    Download,
    /// An order with a large body.
    Upload,
}

impl RequestKind {
    /// Whether a request that may have run can be sent again.
    #[must_use]
    pub fn is_repeatable(self) -> bool {
        !matches!(self, Self::Order | Self::Upload)
    }

    /// Whether the request or its answer is large, so that links between availability zones feel it.
    #[must_use]
    pub fn is_large(self) -> bool {
        matches!(self, Self::Download | Self::Upload)
    }
}
