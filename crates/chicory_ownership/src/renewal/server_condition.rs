//! Condition of a backend server as seen by its dispatcher.

use serde::{Deserialize, Serialize};

/// Condition of a backend server, as its dispatcher determined it from its own traffic.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ServerCondition {
    /// It is answering.
    Up,
    /// It has been unreachable or without progress for longer than the detection timeout.
    Down,
}
