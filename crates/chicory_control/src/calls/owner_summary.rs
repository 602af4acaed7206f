//! The owner of a key.

use chicory_types::{FencingToken, ServerId, Slot, VmId, ZoneName};

/// The owner of a key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OwnerSummary {
    /// The key's slot.
    pub slot: Slot,
    /// The zone that has custody of the slot; `None` if no zone has.
    pub custody_zone: Option<ZoneName>,
    /// The owner, if it is in the zone of the process that answers.
    pub server: Option<ServerId>,
    /// The VM that dispatches to the owner.
    pub dispatcher: Option<VmId>,
    /// Fencing token of the owner.
    pub token: Option<FencingToken>,
}
