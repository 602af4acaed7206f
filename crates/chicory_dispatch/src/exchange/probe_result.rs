//! The result of a probe over a new connection.

use serde::{Deserialize, Serialize};

/// The result of a probe over a new connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ProbeResult {
    /// The server answered, so it is alive. The health that it reports is only a hint.
    Answered {
        /// Whether the server reports that it is healthy.
        says_healthy: bool,
    },
    /// The connection was refused.
    Refused,
    /// The server did not answer in time.
    TimedOut,
}
