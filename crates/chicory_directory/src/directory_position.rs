//! The position of a follower in the changes of the directory.

use chicory_ranges::Fence;
use chicory_routes::RouteTableVersion;

use crate::DirectoryVersion;

/// How much of the directory a follower has; an update contains only what changed since then.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct DirectoryPosition {
    /// Version of the follower's directory; 0 for none.
    pub version: DirectoryVersion,
    /// The greatest fence that was assigned up to this version; later moves have greater ones.
    pub last_fence: Fence,
    /// Version of the follower's route table; 0 for none.
    pub routes_version: RouteTableVersion,
}
