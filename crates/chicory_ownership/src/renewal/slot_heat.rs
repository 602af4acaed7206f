//! Load of one slot since the last report.

use chicory_types::Slot;
use serde::{Deserialize, Serialize};

/// Number of requests for one slot since the last report.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SlotHeat {
    /// The slot.
    pub slot: Slot,
    /// Requests dispatched.
    pub requests: u32,
}
