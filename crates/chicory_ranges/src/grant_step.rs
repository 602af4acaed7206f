//! What is to be done for a tenure.

/// What is to be done for a tenure.
pub(crate) enum GrantStep {
    /// Nothing yet.
    Wait,
    /// Grant the keys, or renew the grant.
    Grant,
    /// Take the keys back.
    Release,
    /// Propose the move to the next owner.
    Propose,
}
