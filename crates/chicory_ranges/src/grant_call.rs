//! Calls to backend servers about keys.

use std::time::Duration;

use crate::{Fence, KeyRange};

/// Identifier of one call, unique within one [`GrantCoordinator`](crate::GrantCoordinator).
pub type CallId = u64;

/// Identifier of a connection to a backend server, unique within a process. A connection belongs to
/// one process of the server; the next process at its address has other connections.
pub type LinkId = u64;

/// A request to a backend server about the keys that it owns.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum GrantCall {
    /// Grants the server these keys, from the arrival of the call on.
    Grant {
        /// The keys.
        range: KeyRange,
        /// Fence of the grant.
        fence: Fence,
        /// How long the server owns the keys unless the grant is renewed.
        hold: Duration,
        /// State that the former owner handed over.
        handover: Option<String>,
    },
    /// Asks the server to stop working on these keys.
    Release {
        /// The keys.
        range: KeyRange,
        /// Fence of the grant.
        fence: Fence,
    },
}

/// The outcome of a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallOutcome {
    /// The server carried out the call; a release may return state for the next owner.
    Done {
        /// State for the next owner.
        handover: Option<String>,
        /// The connection on which the server answered a grant, if it is kept open.
        link: Option<LinkId>,
    },
    /// The connection that the call had to use is closed; the call was never sent.
    LinkLost,
    /// Another server has the address; it changed nothing.
    OtherServer,
    /// The server has seen a greater fence for some of the keys; it changed nothing.
    Fenced,
    /// The server refused for another reason; it changed nothing.
    Rejected,
    /// The call was sent, but its connection broke or became unresponsive; it may
    /// still take effect.
    Unanswered,
    /// No connection could be opened, so the call was never sent.
    Unreachable,
    /// The connection was refused: the process has ended, or a network
    /// partition refuses connections.
    ConnectionRefused,
}
