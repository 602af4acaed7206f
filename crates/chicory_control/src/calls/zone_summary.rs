//! State of a zone as the leader of the global group knows it.

use chicory_ownership::ZoneDirectory;
use chicory_types::Revision;

/// State of a zone as the leader of the global group knows it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ZoneSummary {
    /// Its entry processes.
    pub directory: ZoneDirectory,
    /// Revision of the table in force there.
    pub revision_in_force: Revision,
    /// Whether it was heard of lately.
    pub is_reachable: bool,
    /// Slots in its custody, over all services.
    pub custody_slots: u64,
}
