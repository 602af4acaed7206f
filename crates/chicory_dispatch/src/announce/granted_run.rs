//! A run of slots that a backend server may serve, with their fencing token.

use chicory_types::{FencingToken, SlotRun};

/// A run of slots that a backend server may serve, with their fencing token.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct GrantedRun {
    /// The slots.
    pub run: SlotRun,
    /// Fencing token of the slots.
    pub token: FencingToken,
}
