//! Who may form the group of a zone.

use std::collections::BTreeSet;

use chicory_consensus::MemberId;

/// Who may form the group of a zone.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ZoneFormation {
    /// Epoch of the group; each is given out once.
    pub group_epoch: u64,
    /// Its founders.
    pub founders: BTreeSet<MemberId>,
}
