//! The state of a slot: which backend server may serve it.

use chicory_types::FencingToken;

use crate::view::ServerIndex;

/// The state of a slot: which backend server may serve it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum SlotState {
    /// No server owns the slot.
    #[default]
    Unowned,
    /// A backend server owns the slot.
    Owned {
        /// The owner.
        server: ServerIndex,
        /// Fencing token of the assignment.
        token: FencingToken,
    },
    /// The former owner is releasing the slot, and no server may get new requests for it.
    Releasing {
        /// The former owner.
        server: ServerIndex,
        /// Fencing token of the assignment that ends.
        token: FencingToken,
    },
}
