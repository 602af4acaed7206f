//! A waiting request.

use chicory_types::{MonoTime, RequestId};

/// A waiting request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct QueueEntry {
    pub(crate) request: RequestId,
    pub(crate) expires_at: MonoTime,
    /// Whether it must run with nothing else at its server.
    pub(crate) is_isolated: bool,
}
