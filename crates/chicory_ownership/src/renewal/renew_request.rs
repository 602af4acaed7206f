//! What an entry process sends at each renewal.

use chicory_types::{ServerId, ViewVersion};
use serde::{Deserialize, Serialize};

use crate::{EntryRecord, ReleasedSlots, ServerRecord, ServerReport};

/// What an entry process sends at each renewal.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RenewRequest {
    /// The sender; without its addresses while the view that it has shows them.
    pub entry: EntryRecord,
    /// Version of the view that the sender has.
    pub known_view: ViewVersion,
    /// Whether the sender is stopping and gives up its dispatcher roles.
    pub stopping: bool,
    /// Servers that announced themselves here since the last answered renewal.
    pub announcements: Vec<ServerRecord>,
    /// Slots released since the last answered renewal.
    pub released: Vec<ReleasedSlots>,
    /// Dispatcher roles given up, with nothing left in flight.
    pub resigned: Vec<ServerId>,
    /// Reports on the servers that the sender dispatches to.
    pub reports: Vec<ServerReport>,
}

impl RenewRequest {
    /// Most slots in one report.
    pub const MAX_REPORTED_SLOTS: usize = 32;
}
