//! What is known beforehand of a server that owns keys.

use std::time::Duration;

/// What is known beforehand of a server that owns keys.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OwnerSlots {
    /// Number of requests that the server runs at the same time.
    pub slots: u32,
    /// Time within which its requests are to be answered.
    pub latency_target: Duration,
}
