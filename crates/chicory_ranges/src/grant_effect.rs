//! Effects that a grant desk asks its caller to carry out.

use chicory_types::ServiceName;

use crate::{CallId, GrantCall, RangeMove, ServerIncarnation};

/// An effect returned by [`GrantCoordinator::reduce`](crate::GrantCoordinator::reduce).
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum GrantEffect {
    /// Make a call and answer [`CallEnded`](crate::GrantEvent::CallEnded).
    Call {
        /// Identifier for the answer.
        call: CallId,
        /// Service of the keys.
        service: ServiceName,
        /// The server.
        to: ServerIncarnation,
        /// What it is told.
        content: GrantCall,
    },
    /// Commit a move; afterwards [`RegistryChanged`](crate::GrantEvent::RegistryChanged) or
    /// [`MoveFailed`](crate::GrantEvent::MoveFailed) is due.
    Propose(RangeMove),
}
