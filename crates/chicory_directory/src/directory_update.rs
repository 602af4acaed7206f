//! Changes of the directory.

use std::collections::BTreeSet;

use chicory_ranges::{Fence, ServerIncarnation};
use chicory_routes::RouteTableDelta;
use chicory_types::ZoneName;

use crate::{ServerRecord, ServiceRanges};

/// Log index of the last entry that a directory reflects.
pub type DirectoryVersion = u64;

/// What changed in the directory since an earlier version, or the whole directory.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct DirectoryUpdate {
    /// Version after the update.
    pub version: DirectoryVersion,
    /// The greatest fence that was assigned up to this version.
    pub last_fence: Fence,
    /// Whether the update replaces all servers and ranges that the receiver has.
    pub is_full: bool,
    /// Changes of the route table; `None` if it did not change.
    pub routes: Option<RouteTableDelta>,
    /// Servers that were added or changed.
    pub servers: Vec<ServerRecord>,
    /// Servers that were removed.
    pub removed: Vec<ServerIncarnation>,
    /// Ranges that moved to another owner. For their keys they replace what the receiver has; a
    /// range that they overlap keeps its other keys.
    pub ranges: Vec<ServiceRanges>,
    /// All evacuated availability zones; `None` if they did not change.
    pub evacuated_zones: Option<BTreeSet<ZoneName>>,
}
