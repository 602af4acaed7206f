//! A violation of sole ownership.

/// A violation of sole ownership.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Violation {
    /// Two running processes hold a key at the same time.
    TwoHolders,
    /// A process takes a key under a fence that isn't above all fences under which other processes
    /// had it.
    UsedFence,
}

impl Violation {
    /// Number of kinds.
    pub const COUNT: usize = 2;
}
