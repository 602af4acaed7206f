//! A backend server as its zone group knows it.

use chicory_ownership::ServerRecord;
use chicory_types::VmId;

/// A backend server as its zone group knows it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServerSummary {
    /// What it announced.
    pub record: ServerRecord,
    /// The VM that dispatches to it.
    pub dispatcher: Option<VmId>,
    /// Slots that it owns.
    pub owned_slots: u64,
    /// Slots that it is giving up.
    pub releasing_slots: u64,
}
