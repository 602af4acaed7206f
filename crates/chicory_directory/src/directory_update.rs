//! Changes of the directory.

use chicory_ranges::{Fence, ServerIncarnation};
use chicory_routes::RouteTableDelta;

use crate::{ServerRecord, ServiceRanges};

/// Log index of the last entry that a directory reflects.
pub type DirectoryVersion = u64;

/// What changed in the directory since a former version, or all of it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct DirectoryUpdate {
    /// Version after the update.
    pub version: DirectoryVersion,
    /// The greatest fence that was given out by then.
    pub last_fence: Fence,
    /// Whether the update replaces all servers and ranges that the receiver knows.
    pub is_full: bool,
    /// What changed in the route table.
    pub routes: Option<RouteTableDelta>,
    /// Servers that are new or changed.
    pub servers: Vec<ServerRecord>,
    /// Servers that left.
    pub removed: Vec<ServerIncarnation>,
    /// Ranges that changed hands; they cut what the receiver knows of the same keys.
    pub ranges: Vec<ServiceRanges>,
}
