//! Slots that a zone releases to another zone.

use chicory_types::{ServiceName, SlotRun};
use serde::{Deserialize, Serialize};

use crate::ClaimRecord;

/// Slots that a zone releases to another zone, with no requests or orders in progress on them.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CustodyRelease {
    /// The service.
    pub service: ServiceName,
    /// The slots.
    pub run: SlotRun,
    /// Generation of the released custody.
    pub generation: u64,
    /// Order claims of the slots, with ages in place of times.
    pub claims: Vec<ClaimRecord>,
    /// How much longer orders of the slots are refused because their claims were lost, in
    /// milliseconds.
    pub history_lost_ms: u64,
}
