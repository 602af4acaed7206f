//! A request that waits for a backend server.

use chicory_types::{MonoTime, RequestId};

/// A request that waits for a backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct QueueEntry {
    pub(crate) request: RequestId,
    pub(crate) expires_at: MonoTime,
    /// Whether the request must be the only one in flight at the server.
    pub(crate) is_isolated: bool,
}
