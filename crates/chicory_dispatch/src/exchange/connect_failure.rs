//! The reason why a connection could not be opened.

use serde::{Deserialize, Serialize};

/// The reason why a connection could not be opened.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ConnectFailure {
    /// The host of the server refused the connection.
    Refused,
    /// The host did not answer in time.
    TimedOut,
    /// Another network failure occurred.
    Failed,
}
