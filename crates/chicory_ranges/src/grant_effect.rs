//! Effects that a grant coordinator returns to its caller.

use chicory_types::ServiceName;

use crate::{CallId, GrantCall, LinkId, RangeMove, ServerIncarnation};

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
        /// The connection to use. A grant that may have taken effect is sent again only on its
        /// connection, since on another one the next process at the address could answer.
        link: Option<LinkId>,
    },
    /// Commit a move and then report [`RegistryChanged`](crate::GrantEvent::RegistryChanged) or
    /// [`MoveFailed`](crate::GrantEvent::MoveFailed).
    Propose(RangeMove),
}
