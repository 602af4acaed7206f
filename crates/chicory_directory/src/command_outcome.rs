//! The outcomes of commands of the replicated log.

use chicory_ranges::{Fence, MoveRejection, ServerIncarnation};

use chicory_types::ZoneName;

use crate::EndedServer;

/// The outcome of applying a [`SiteCommand`](crate::SiteCommand).
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CommandOutcome {
    /// The route table of the command came into force.
    RoutesChanged,
    /// A server was added or changed.
    ServerChanged {
        /// Incarnations that the server replaced, and that have ended because of it.
        ended: Vec<EndedServer>,
    },
    /// Only the time for which a server stays cold changed.
    ColdTimeChanged,
    /// This incarnation of a server left or was removed. If it left, an earlier one or none may have
    /// been known.
    ServerRemoved(ServerIncarnation),
    /// Keys moved to another owner under this fence.
    RangeMoved(Fence),
    /// A move was rejected, because the keys have another owner than it assumes.
    MoveRejected(MoveRejection),
    /// The evacuation of an availability zone began.
    EvacuationBegun(ZoneName),
    /// The evacuation of an availability zone ended.
    EvacuationFinished(ZoneName),
    /// The command changed nothing.
    Unchanged,
    /// The announced incarnation has already ended or left.
    Stale,
}
