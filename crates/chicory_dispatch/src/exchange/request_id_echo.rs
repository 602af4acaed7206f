//! Whether the server echoed the request id.

use serde::{Deserialize, Serialize};

/// Whether the server echoed the request id.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RequestIdEcho {
    /// It echoed the id of this request.
    Matched,
    /// It echoed none.
    Absent,
    /// It echoed another one: the answer belongs to another request.
    Mismatched,
}
