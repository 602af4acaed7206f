//! Calls to backend servers about keys.

use std::time::Duration;

use crate::{Fence, KeyRange};

/// Identifier of one call, unique in the life of a desk.
pub type CallId = u64;

/// What a backend server is told.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum GrantCall {
    /// It owns these keys, from the arrival of the call on.
    Grant {
        /// The keys.
        range: KeyRange,
        /// Fence of the grant.
        fence: Fence,
        /// How long it owns them unless the grant is renewed.
        hold: Duration,
        /// State that the former owner handed over.
        handover: Option<String>,
    },
    /// It is to stop working on these keys.
    Release {
        /// The keys.
        range: KeyRange,
        /// Fence of the grant.
        fence: Fence,
    },
}

/// What became of a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallOutcome {
    /// The server did as told; a release may bring state for the next owner.
    Done {
        /// State for the next owner.
        handover: Option<String>,
    },
    /// The server knows a greater fence for some of the keys; nothing changed there.
    Fenced,
    /// The server refused for another reason; nothing changed there.
    Rejected,
    /// The call was sent and its connection broke or fell silent; it may still take effect.
    Unanswered,
    /// No connection came about, so the call was never sent.
    Unreachable,
    /// The connection was refused: the process has ended, or a partition refuses connections.
    ConnectionRefused,
}
