//! Owners of all keys of one service.

use chicory_ranges::OwnedRange;
use chicory_types::ServiceName;

/// All owned ranges of one service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServiceRanges {
    /// The service.
    pub service: ServiceName,
    /// Its ranges, by ascending keys; handovers are left out.
    pub ranges: Vec<OwnedRange>,
}
