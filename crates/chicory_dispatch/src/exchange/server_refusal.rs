//! A refusal by the backend server itself.

use serde::{Deserialize, Serialize};

/// A refusal by the backend server itself, which reports that the request did not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ServerRefusal {
    /// The fencing token isn't current.
    Token,
    /// The server is shedding load.
    Shed,
    /// The server is draining.
    Draining,
    /// The deadline had passed before the server started to process the request.
    Deadline,
}
