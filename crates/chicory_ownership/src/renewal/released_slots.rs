//! Slots that a dispatcher has released.

use chicory_types::{ServerId, ServiceName, SlotRun};
use serde::{Deserialize, Serialize};

/// Slots that a dispatcher reports as released: no request for them is in flight, and it sends no
/// further ones under the assignment that ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReleasedSlots {
    /// The service.
    pub service: ServiceName,
    /// The slots.
    pub runs: Vec<SlotRun>,
    /// The backend server that no longer owns them.
    pub server: ServerId,
}
