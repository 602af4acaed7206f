//! Why a connection could not be opened.

use serde::{Deserialize, Serialize};

/// Why a connection could not be opened.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ConnectFailure {
    /// The server's host refused it.
    Refused,
    /// No answer in time.
    TimedOut,
    /// Any other failure of the network.
    Failed,
}
