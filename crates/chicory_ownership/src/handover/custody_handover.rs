//! Released slots in transfer to their new zone.

use chicory_types::{ServiceName, SlotRun, ZoneName};
use serde::{Deserialize, Serialize};

use crate::ClaimRecord;

/// Released slots in transfer to the zone that gets their custody.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CustodyHandover {
    /// Version of the custody that contains this transfer.
    pub version: u64,
    /// The zone that gets custody.
    pub to_zone: ZoneName,
    /// The service.
    pub service: ServiceName,
    /// The slots.
    pub run: SlotRun,
    /// Generation of the new custody.
    pub generation: u64,
    /// Order claims of the slots, with ages in place of times.
    pub claims: Vec<ClaimRecord>,
    /// How much longer orders of the slots are refused because their claims were lost, in
    /// milliseconds.
    pub history_lost_ms: u64,
}
