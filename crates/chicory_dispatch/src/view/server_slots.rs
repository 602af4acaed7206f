//! The slots of one backend server.

use chicory_types::{FencingToken, Slot};

/// The slots of one backend server.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ServerSlots {
    /// Slots that the server owns, with their fencing tokens, in ascending order.
    pub owned: Vec<(Slot, FencingToken)>,
    /// Slots that the server has to release, in ascending order.
    pub releasing: Vec<Slot>,
}
