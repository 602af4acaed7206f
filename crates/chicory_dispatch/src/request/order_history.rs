//! Whether the outcome of earlier sends of an order is known.

/// Whether the outcome of earlier sends of an order is known.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum OrderHistory {
    /// The zone group has not reported it yet.
    NotReported,
    /// The zone group has reported it with its answer to the claim.
    Reported,
}
