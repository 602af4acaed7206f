//! A range with its owner.

use crate::{KeyRange, ServerIncarnation};

/// Number that distinguishes a later grant of a key from an earlier one; it never decreases.
pub type Fence = u64;

/// A range with its owner.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OwnedRange {
    /// The keys.
    pub range: KeyRange,
    /// The incarnation of the backend server that owns them.
    pub owner: ServerIncarnation,
    /// Fence of the grant.
    pub fence: Fence,
    /// State that the former owner handed over when it released the keys.
    pub handover: Option<String>,
}
