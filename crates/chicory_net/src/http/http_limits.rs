//! Limits of a listener.

use std::time::Duration;

/// Limits of a listener.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HttpLimits {
    /// Maximum size of a request's head in bytes.
    pub max_head_bytes: usize,
    /// Maximum number of open connections; further ones are closed at once.
    pub max_connections: usize,
    /// Time within which a request's head must be received, including the idle time before it.
    pub head_timeout: Duration,
}

impl HttpLimits {
    /// Limits for listeners that only the deployment itself and its operators use.
    pub const INTERNAL: Self = Self {
        max_head_bytes: 8 * 1024,
        max_connections: 2_000,
        head_timeout: Duration::from_mins(1),
    };
}
