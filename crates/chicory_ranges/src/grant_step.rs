//! The next step for the grant of a range.

/// The next step for the grant of a range.
pub(crate) enum GrantStep {
    /// Do nothing yet.
    Wait,
    /// Grant the keys, or renew the grant.
    Grant,
    /// Propose a greater fence for the same owner.
    Refence,
    /// Have the owner release the keys.
    Release,
    /// Propose the move to the next owner.
    Propose,
}
