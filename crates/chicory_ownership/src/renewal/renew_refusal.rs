//! Why a renewal was refused.

use serde::{Deserialize, Serialize};

/// Why a renewal was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RenewRefusal {
    /// A later incarnation of the same VM is known.
    SupersededIncarnation,
    /// An announcement names another availability zone.
    WrongZone,
}
