//! Renewal request of an entry process.

use chicory_types::{ServerId, ViewVersion};
use serde::{Deserialize, Serialize};

use crate::{EntryRecord, ReleasedSlots, ServerRecord, ServerReport};

/// Renewal request that an entry process sends periodically to the leader of its zone group.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RenewRequest {
    /// The sender, without its addresses while its view already shows them.
    pub entry: EntryRecord,
    /// Version of the sender's view.
    pub known_view: ViewVersion,
    /// Whether the sender is stopping and resigns from its dispatcher roles.
    pub stopping: bool,
    /// Servers that sent an announcement to the sender since the last answered renewal, except for
    /// unchanged announcements of servers that have a dispatcher.
    pub announcements: Vec<ServerRecord>,
    /// All slots that were released and that the sender's view still lists as releasing.
    pub released: Vec<ReleasedSlots>,
    /// Backend servers whose dispatcher role the sender resigned, with no requests in flight.
    pub resigned: Vec<ServerId>,
    /// Reports on the servers that the sender dispatches to.
    pub reports: Vec<ServerReport>,
}

impl RenewRequest {
    /// Maximum number of slots in one report.
    pub const MAX_REPORTED_SLOTS: usize = 32;
}
