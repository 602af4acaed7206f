//! Status of the sender of a hello.

use serde::{Deserialize, Serialize};

use crate::Membership;

/// Status in the group that the sender of a hello reports.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum HelloStatus {
    /// The sender belongs to no group, does not form one and asks to be admitted.
    Joining,
    /// The sender has no state and takes part in forming the group.
    Forming,
    /// The sender has recorded these founders and never records others in this epoch.
    Bound(Membership),
    /// The sender belongs to a formed group.
    Formed,
}
