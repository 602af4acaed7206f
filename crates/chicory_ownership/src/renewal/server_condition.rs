//! What a dispatcher makes of a backend server, from its own traffic.

use serde::{Deserialize, Serialize};

/// What a dispatcher makes of a backend server, from its own traffic.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ServerCondition {
    /// It answers.
    Up,
    /// It has been unreachable or without progress for longer than the detection timeout.
    Down,
}
