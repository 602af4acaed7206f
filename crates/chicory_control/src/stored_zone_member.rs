//! A part in the zone's group as it was stored.

use chicory_consensus::RestoredState;
use chicory_types::Incarnation;

/// A part in the zone's group, as it was stored before the process was started anew.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoredZoneMember {
    /// Epoch of the group.
    pub group_epoch: u64,
    /// Start of the member's memory.
    pub incarnation: Incarnation,
    /// What the member stored.
    pub state: RestoredState,
}
