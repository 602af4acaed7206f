//! Keys on their way to another owner.

use chicory_ranges::{Fence, KeyRange};
use chicory_types::ServiceName;

/// Keys that their owner is giving up, has not been granted yet or holds no longer: it turns requests
/// for them away.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct MovingRange {
    /// The service whose keys these are.
    pub service: ServiceName,
    /// The keys.
    pub range: KeyRange,
    /// Fence of the grant; under a greater one the keys have moved.
    pub fence: Fence,
}
