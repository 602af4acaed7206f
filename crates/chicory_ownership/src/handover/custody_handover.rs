//! A release on its way to the zone that takes the slots over.

use chicory_types::{ServiceName, SlotRun, ZoneName};
use serde::{Deserialize, Serialize};

use crate::ClaimRecord;

/// A release on its way to the zone that takes the slots over.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CustodyHandover {
    /// Version of the custody that it came with.
    pub version: u64,
    /// The zone that takes over.
    pub to_zone: ZoneName,
    /// The service.
    pub service: ServiceName,
    /// The slots.
    pub run: SlotRun,
    /// Generation of the custody that begins.
    pub generation: u64,
    /// Their order claims, with ages in place of times.
    pub claims: Vec<ClaimRecord>,
    /// How much longer orders of the slots are refused, in milliseconds.
    pub history_lost_ms: u64,
}
