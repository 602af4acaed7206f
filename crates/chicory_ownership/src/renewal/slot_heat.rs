//! Load of one slot since the last report.

use chicory_types::Slot;
use serde::{Deserialize, Serialize};

/// Load of one slot since the last report.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SlotHeat {
    /// The slot.
    pub slot: Slot,
    /// Requests dispatched.
    pub requests: u32,
}
