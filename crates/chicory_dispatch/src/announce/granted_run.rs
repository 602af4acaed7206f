//! A run of slots that the server may serve, with its fencing token.

use chicory_types::{FencingToken, SlotRun};

/// A run of slots that the server may serve, with its fencing token.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct GrantedRun {
    /// The slots.
    pub run: SlotRun,
    /// Their token.
    pub token: FencingToken,
}
