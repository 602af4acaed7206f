//! A role that this process has given up.

/// A role that this process has given up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Resignation {
    /// Epoch of the role.
    pub(crate) epoch: u64,
    /// Whether the zone group knows.
    pub(crate) is_told: bool,
}
