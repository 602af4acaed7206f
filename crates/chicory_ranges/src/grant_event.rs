//! Events that a grant desk reacts to.

use crate::{CallId, CallOutcome, ServerLife, Transfer};

/// An event for [`GrantDesk::reduce`](crate::GrantDesk::reduce).
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum GrantEvent {
    /// Time went on.
    Tick,
    /// The book changed.
    BookChanged,
    /// A call ended.
    CallEnded {
        /// The call.
        call: CallId,
        /// What became of it.
        outcome: CallOutcome,
    },
    /// A server announced itself: its process is the one that the life names.
    Announced(ServerLife),
    /// A server's process has ended; it holds nothing any more.
    Ended(ServerLife),
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
