//! Slots that a dispatcher has stopped serving for good.

use chicory_types::{ServerId, ServiceName, SlotRun};
use serde::{Deserialize, Serialize};

/// Slots that a dispatcher has stopped serving for good.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReleasedSlots {
    /// The service.
    pub service: ServiceName,
    /// The slots.
    pub runs: Vec<SlotRun>,
    /// The backend server that no longer owns them.
    pub server: ServerId,
}
