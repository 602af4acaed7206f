//! What a command did.

use chicory_ranges::{Fence, MoveRejection, ServerIncarnation};

/// What a command did.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CommandOutcome {
    /// A route table is in force.
    RoutesChanged,
    /// A server is new or changed; these lives have ended because of it.
    ServerChanged {
        /// Lives that the server replaced.
        ended: Vec<ServerIncarnation>,
    },
    /// A server was removed.
    ServerRemoved(ServerIncarnation),
    /// Keys changed hands under this fence.
    RangeMoved(Fence),
    /// A move did not fit.
    MoveRejected(MoveRejection),
    /// The command said nothing new.
    Unchanged,
    /// The announced life has ended or left before.
    Stale,
}
