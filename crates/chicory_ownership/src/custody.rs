//! Which availability zone decides on a slot.

use chicory_types::{SLOTS_PER_SERVICE, ServiceName, SlotRun, ZoneName};
use serde::{Deserialize, Serialize};

/// All slots of a service.
pub const ALL_SLOTS: SlotRun = SlotRun {
    first: 0,
    last: SLOTS_PER_SERVICE - 1,
};

/// How an availability zone came to the custody of slots.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum CustodyCause {
    /// Nobody had it before.
    Initial,
    /// The former zone released it, together with its order claims.
    Released,
    /// The former zone's custody lease ended.
    LeaseEnded,
    /// An operator evicted the former zone.
    Evicted,
    /// The zone's own group was formed anew and lost its state.
    Reformed,
}

impl CustodyCause {
    /// Whether the order claims of the slots were lost on the way.
    #[must_use]
    pub fn lost_claims(self) -> bool {
        matches!(self, Self::LeaseEnded | Self::Evicted | Self::Reformed)
    }
}

/// Custody of a slot.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Custody {
    /// The zone that decides on the slot.
    pub zone: ZoneName,
    /// Generation, greater than that of any earlier custody; high part of fencing tokens.
    pub generation: u64,
    /// How the zone came to it.
    pub cause: CustodyCause,
    /// The zone that it is to be released to.
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
