//! The owned key ranges of one service.

use chicory_ranges::OwnedRange;
use chicory_types::ServiceName;

/// The owned key ranges of one service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServiceRanges {
    /// The service.
    pub service: ServiceName,
    /// Ranges in ascending order of their keys.
    pub ranges: Vec<OwnedRange>,
}
