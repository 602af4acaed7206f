//! Events that a grant coordinator handles.

use crate::{CallId, CallOutcome, ServerIncarnation, Transfer};

/// An event for [`GrantCoordinator::reduce`](crate::GrantCoordinator::reduce).
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum GrantEvent {
    /// Time has passed.
    Tick,
    /// The registry changed.
    RegistryChanged,
    /// A call ended.
    CallEnded {
        /// The call.
        call: CallId,
        /// Its outcome.
        outcome: CallOutcome,
    },
    /// A server announced itself: the process of this incarnation is running.
    Announced(ServerIncarnation),
    /// A server's process has ended; it holds no keys any more.
    Ended {
        /// The incarnation that has ended.
        incarnation: ServerIncarnation,
        /// The incarnation of the same server that now has its address. Grants may have reached it
        /// before its first announcement did.
        successor: Option<ServerIncarnation>,
    },
    /// Keys should move to another owner.
    Transfer(Transfer),
    /// A proposed move was not committed.
    MoveFailed {
        /// Service of the move.
        service: chicory_types::ServiceName,
        /// First key of the move.
        first: crate::Key,
    },
}
