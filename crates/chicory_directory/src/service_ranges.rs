//! Owners of keys of one service.

use chicory_ranges::OwnedRange;
use chicory_types::ServiceName;

/// Owned ranges of one service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServiceRanges {
    /// The service.
    pub service: ServiceName,
    /// Ranges by ascending keys.
    pub ranges: Vec<OwnedRange>,
}
