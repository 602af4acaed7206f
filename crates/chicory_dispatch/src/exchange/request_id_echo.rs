//! Whether the backend server echoed the request id.

use serde::{Deserialize, Serialize};

/// Whether the backend server echoed the request id.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RequestIdEcho {
    /// The server echoed the id of this request.
    Matched,
    /// The server echoed no id.
    Absent,
    /// The server echoed another id, so the answer belongs to another request.
    Mismatched,
}
