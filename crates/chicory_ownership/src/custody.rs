//! Custody: which availability zone assigns the owner of a slot.

use chicory_types::{SLOTS_PER_SERVICE, ServiceName, SlotRun, ZoneName};
use serde::{Deserialize, Serialize};

/// All slots of a service.
pub const ALL_SLOTS: SlotRun = SlotRun {
    first: 0,
    last: SLOTS_PER_SERVICE - 1,
};

/// How an availability zone got the custody of slots.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum CustodyCause {
    /// No zone had it before.
    Initial,
    /// The previous zone released it together with its order claims.
    Released,
    /// The custody lease of the previous zone ended.
    LeaseEnded,
    /// An operator evicted the previous zone.
    Evicted,
    /// The zone's own group was re-formed and lost its state.
    Reformed,
}

impl CustodyCause {
    /// Returns whether the order claims of the slots were lost in the transfer.
    #[must_use]
    pub fn lost_claims(self) -> bool {
        matches!(self, Self::LeaseEnded | Self::Evicted | Self::Reformed)
    }
}

/// Custody of a slot.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Custody {
    /// The zone that assigns the owner of the slot.
    pub zone: ZoneName,
    /// Generation, greater than that of any earlier custody. It is the high part of fencing tokens.
    pub generation: u64,
    /// How the zone got custody.
    pub cause: CustodyCause,
    /// The zone that custody is to be released to, if any.
    pub moving_to: Option<ZoneName>,
}

/// Custody of a run of slots.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CustodyRun {
    /// The service.
    pub service: ServiceName,
    /// The slots.
    pub run: SlotRun,
    /// Their custody.
    pub custody: Custody,
}
