//! The owner of a key.

use chicory_types::{FencingToken, ServerId, Slot, VmId, ZoneName};

/// The owner of a key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OwnerSummary {
    /// The key's slot.
    pub slot: Slot,
    /// The zone that has custody; `None` for nobody.
    pub custody_zone: Option<ZoneName>,
    /// The owner, where it is in the zone that was asked.
    pub server: Option<ServerId>,
    /// Its dispatcher.
    pub dispatcher: Option<VmId>,
    /// Its fencing token.
    pub token: Option<FencingToken>,
}
