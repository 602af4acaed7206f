//! Limits of what a caller may send, and how long it may take.

use std::time::Duration;

/// Limits of requests and connections of callers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallerLimits {
    /// Greatest size of the head of a request.
    pub max_header_bytes: u64,
    /// Greatest size of the body of a request.
    pub max_body_bytes: u64,
    /// Longest time that a caller may take to send a head.
    pub header_timeout: Duration,
    /// Time after which an idle connection of a caller is closed.
    pub idle_timeout: Duration,
}

impl Default for CallerLimits {
    /// The limits in force before the operator has sent any: 16 KiB, 64 MiB, 3 s and 15 s, the
    /// values of the operators' example table.
    fn default() -> Self {
        Self {
            max_header_bytes: 16 * 1024,
            max_body_bytes: 64 * 1024 * 1024,
            header_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        }
    }
}
