//! State of a backend server in its zone's group.

use chicory_ownership::ServerRecord;
use chicory_types::VmId;

/// State of a backend server in its zone's group.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServerSummary {
    /// Record that the server announced.
    pub record: ServerRecord,
    /// The VM that dispatches to it.
    pub dispatcher: Option<VmId>,
    /// Number of slots that it owns.
    pub owned_slots: u64,
    /// Number of slots that it is releasing.
    pub releasing_slots: u64,
}
