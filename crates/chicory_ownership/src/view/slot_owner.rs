//! Who may serve a run of slots.

use chicory_types::{FencingToken, ServerId};
use serde::{Deserialize, Serialize};

/// Who may serve a run of slots.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum SlotOwner {
    /// Nobody yet.
    Unowned,
    /// A backend server, under a fencing token.
    Owned {
        /// The owner.
        server: ServerId,
        /// Token of the assignment.
        token: FencingToken,
    },
    /// A backend server that must give the slots up: its dispatcher sends nothing new, lets what is
    /// in flight end, outwaits the server's lease, and then reports the slots as released.
    Releasing {
        /// The owner that gives up.
        server: ServerId,
        /// Token of the assignment that ends.
        token: FencingToken,
    },
}
