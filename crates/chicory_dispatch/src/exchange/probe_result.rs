//! What a probe over a fresh connection found.

use serde::{Deserialize, Serialize};

/// What a probe over a fresh connection found.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ProbeResult {
    /// The server answered; its word on its load is a hint only.
    Answered {
        /// Whether it says that it is healthy.
        says_healthy: bool,
    },
    /// The connection was refused.
    Refused,
    /// No answer in time.
    TimedOut,
}
