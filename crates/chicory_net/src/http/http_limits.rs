//! Limits of a listener.

use std::time::Duration;

/// Limits of a listener.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HttpLimits {
    /// Most bytes of a request's head.
    pub max_head_bytes: usize,
    /// Most connections at a time; further ones are closed at once.
    pub max_connections: usize,
    /// How long a request's head may take to come in, idle time between requests included.
    pub head_timeout: Duration,
}

impl HttpLimits {
    /// Limits of listeners that only the deployment itself and its operators use.
    pub const INTERNAL: Self = Self {
        max_head_bytes: 8 * 1024,
        max_connections: 2_000,
        head_timeout: Duration::from_mins(1),
    };
}
