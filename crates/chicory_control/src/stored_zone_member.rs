//! The stored state of a member of a zone's group.

use chicory_consensus::RestoredState;
use chicory_types::Incarnation;

/// The state of a member of a zone's group, as stored before the process restarted.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoredZoneMember {
    /// Epoch of the group.
    pub group_epoch: u64,
    /// Incarnation of the member.
    pub incarnation: Incarnation,
    /// Replica state that the member stored.
    pub state: RestoredState,
}
