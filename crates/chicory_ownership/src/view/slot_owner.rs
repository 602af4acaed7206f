//! Owner of a run of slots.

use chicory_types::{FencingToken, ServerId};
use serde::{Deserialize, Serialize};

/// Owner of a run of slots, as entry processes see it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum SlotOwner {
    /// The slots have no owner.
    Unowned,
    /// A backend server owns the slots under a fencing token.
    Owned {
        /// The owner.
        server: ServerId,
        /// Token of the assignment.
        token: FencingToken,
    },
    /// A backend server must release the slots. Its dispatcher sends no new requests for them and
    /// waits until requests in flight have ended. It also waits until the server has acknowledged
    /// grants without the slots, or the server's lease has expired. Then it reports the slots as
    /// released.
    Releasing {
        /// The owner that releases the slots.
        server: ServerId,
        /// Token of the ending assignment.
        token: FencingToken,
    },
}
