//! Whether it is known what became of earlier sends of an order.

/// Whether it is known what became of earlier sends of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum OrderHistory {
    /// The zone group has not told.
    Untold,
    /// The zone group has told it with its answer to the claim.
    Told,
}
