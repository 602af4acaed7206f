//! The kinds of events in a history.

use serde::{Deserialize, Serialize};

/// The kind of an event in a history.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum HistoryEvent {
    /// A backend server started; the runs and grants of its earlier incarnations are lost.
    ServerStarted,
    /// A backend server began to run a request.
    RunStart,
    /// A backend server finished a request; `status` is its answer.
    RunEnd,
    /// A backend server abandoned a request before it took effect, because it had lost its grant.
    ///
    /// `lease_end_ns` is the time from which the server had no right to the key.
    RunAbandoned,
    /// A backend server was granted the slots from `first_slot` to `last_slot`.
    Grant,
    /// A backend server's lease was renewed until `lease_end_ns`.
    Renewed,
    /// A grant was revoked.
    Revoke,
    /// A backend server's lease ended without renewal; all its grants are void.
    GrantExpired,
    /// A backend server refused a request because of its fencing token.
    RefusedToken,
    /// A caller sent a request.
    Sent,
    /// A caller got the final result of a request.
    Answered,
    /// An operator sent an edit of the table.
    EditSent,
    /// An operator got the answer to an edit; `revision` is set if the edit was accepted.
    EditAnswered,
    /// The revision `revision` was observed in force in the availability zone `zone`.
    RevisionSeen,
}
