//! Effects that a grant coordinator returns to its caller.

use chicory_types::ServiceName;

use crate::{CallId, GrantCall, RangeMove, ServerIncarnation};

/// An effect returned by [`GrantCoordinator::reduce`](crate::GrantCoordinator::reduce).
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum GrantEffect {
    /// Make a call and report its outcome with [`CallEnded`](crate::GrantEvent::CallEnded).
    Call {
        /// Identifier to report the outcome with.
        call: CallId,
        /// Service of the keys.
        service: ServiceName,
        /// The server to call.
        to: ServerIncarnation,
        /// The request.
        content: GrantCall,
    },
    /// Commit a move and then report [`RegistryChanged`](crate::GrantEvent::RegistryChanged) or
    /// [`MoveFailed`](crate::GrantEvent::MoveFailed).
    Propose(RangeMove),
}
