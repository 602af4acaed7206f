//! Who may serve a slot.

use chicory_types::FencingToken;

use crate::view::ServerIndex;

/// Who may serve a slot.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum SlotState {
    /// Nobody.
    #[default]
    Unowned,
    /// A backend server.
    Owned {
        /// The owner.
        server: ServerIndex,
        /// Token of the assignment.
        token: FencingToken,
    },
    /// A backend server that gives the slot up.
    Releasing {
        /// The former owner.
        server: ServerIndex,
        /// Token of the assignment that ends.
        token: FencingToken,
    },
}
