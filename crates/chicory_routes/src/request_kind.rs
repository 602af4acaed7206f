//! Whether a request may be repeated.

/// Whether a request may run more than once, and whether it or its answer is large.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum RequestKind {
    /// Idempotent: may run more than once.
    Idempotent,
    /// Not idempotent: runs at most once for each attempt of a caller.
    Order,
    /// Idempotent, with large answers.
    Download,
    /// An order with a large body.
    Upload,
}

impl RequestKind {
    /// Returns whether a request that may have run can be sent again.
    #[must_use]
    pub fn is_repeatable(self) -> bool {
        !matches!(self, Self::Order | Self::Upload)
    }

    /// Returns whether the request or its answer is large enough to load links
    /// between availability zones.
    #[must_use]
    pub fn is_large(self) -> bool {
        matches!(self, Self::Download | Self::Upload)
    }
}
