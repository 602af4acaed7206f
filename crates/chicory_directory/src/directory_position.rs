//! What a follower of the directory has.

use chicory_ranges::Fence;
use chicory_routes::RouteTableVersion;

use crate::DirectoryVersion;

/// What a follower of the directory has: an update takes it from there.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct DirectoryPosition {
    /// Version of its directory; 0 for none.
    pub version: DirectoryVersion,
    /// The greatest fence that had been given out by then; later moves have greater ones.
    pub last_fence: Fence,
    /// Version of its route table; 0 for none.
    pub routes_version: RouteTableVersion,
}
