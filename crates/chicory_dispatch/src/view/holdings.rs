//! Slots of one backend server.

use chicory_types::{FencingToken, Slot};

/// Slots of one server.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Holdings {
    /// Slots that it owns, with their tokens, ascending.
    pub owned: Vec<(Slot, FencingToken)>,
    /// Slots that it has to give up, ascending.
    pub releasing: Vec<Slot>,
}
