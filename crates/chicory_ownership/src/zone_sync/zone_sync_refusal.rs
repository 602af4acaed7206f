//! Why a zone's sync was refused.

use serde::{Deserialize, Serialize};

/// Why a zone's sync was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ZoneSyncRefusal {
    /// The zone or its new group is being registered. The zone should sync again.
    Registering,
    /// A later group of the zone is already registered.
    SupersededGroup,
}
