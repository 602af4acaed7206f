//! Epoch and founders of a zone's group.

use std::collections::BTreeSet;

use chicory_consensus::MemberId;

/// Epoch and founders of a zone's group.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ZoneFormation {
    /// Epoch of the group; each epoch of a zone is used once.
    pub group_epoch: u64,
    /// Members that may form the group.
    pub founders: BTreeSet<MemberId>,
}
