//! The kinds of events in a history.

use serde::{Deserialize, Serialize};

/// The kind of an event in a history.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum HistoryEvent {
    /// A backend server started; what an earlier start ran or held is gone.
    ServerStarted,
    /// A backend server began to run a request.
    RunStart,
    /// A backend server finished a request; `status` is its answer.
    RunEnd,
    /// A backend server gave a request up before it took effect, since its lease had ended.
    ///
    /// `lease_end_ns` is the moment from which the server had no right to the key.
    RunAbandoned,
    /// A backend server was granted the slots from `first_slot` to `last_slot`.
    Grant,
    /// A backend server's lease was renewed until `lease_end_ns`.
    Renewed,
    /// A grant was taken back.
    Revoke,
    /// A backend server's lease ended without renewal; all its grants are void.
    GrantExpired,
    /// A backend server refused a request for its fencing token.
    RefusedToken,
    /// A caller sent a request.
    Sent,
    /// A caller has the final result of a request.
    Answered,
    /// An operator sent an edit of the table.
    EditSent,
    /// An operator has the answer to an edit; `revision` is set if it was accepted.
    EditAnswered,
    /// An availability zone, named by `zone`, was seen to have `revision` in force.
    RevisionSeen,
}
