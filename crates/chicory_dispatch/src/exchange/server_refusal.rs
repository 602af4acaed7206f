//! A refusal by the backend server itself, which says that the request did not run.

use serde::{Deserialize, Serialize};

/// A refusal by the backend server itself, which says that the request did not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ServerRefusal {
    /// The fencing token isn't current.
    Token,
    /// The server sheds load.
    Shed,
    /// The server is draining.
    Draining,
    /// The deadline had passed before the server began.
    Deadline,
}
