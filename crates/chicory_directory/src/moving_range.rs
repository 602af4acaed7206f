//! Keys in transfer to another owner.

use chicory_ranges::{Fence, KeyRange};
use chicory_types::ServiceName;

/// Keys that their owner is releasing, has not been granted yet or no longer holds, so that it
/// rejects requests for them.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct MovingRange {
    /// The service that the keys belong to.
    pub service: ServiceName,
    /// The keys.
    pub range: KeyRange,
    /// Fence of the grant. Once the keys have a greater fence, they have moved to the next owner.
    pub fence: Fence,
}
