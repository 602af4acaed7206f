//! Events that a grant desk reacts to.

use crate::{CallId, CallOutcome, ServerIncarnation, Transfer};

/// An event for [`GrantCoordinator::reduce`](crate::GrantCoordinator::reduce).
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum GrantEvent {
    /// Time went on.
    Tick,
    /// The book changed.
    RegistryChanged,
    /// A call ended.
    CallEnded {
        /// The call.
        call: CallId,
        /// What became of it.
        outcome: CallOutcome,
    },
    /// A server announced itself: its process is the one that the life names.
    Announced(ServerIncarnation),
    /// A server's process has ended; it holds nothing any more.
    Ended(ServerIncarnation),
    /// Keys should change hands.
    Transfer(Transfer),
    /// A proposed move was not committed.
    MoveFailed {
        /// Service of the move.
        service: chicory_types::ServiceName,
        /// First key of the move.
        first: crate::Key,
    },
}
