//! Slots that a zone gives up for another one, with nothing left that runs on them.

use chicory_types::{ServiceName, SlotRun};
use serde::{Deserialize, Serialize};

use crate::ClaimRecord;

/// Slots that a zone gives up for another one, with nothing left that runs on them.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CustodyRelease {
    /// The service.
    pub service: ServiceName,
    /// The slots.
    pub run: SlotRun,
    /// Generation of the custody that ends.
    pub generation: u64,
    /// Their order claims, with ages in place of times.
    pub claims: Vec<ClaimRecord>,
    /// How much longer orders of the slots are refused, in milliseconds.
    pub history_lost_ms: u64,
}
