//! State of a zone, as known to the leader of the global group.

use chicory_ownership::ZoneDirectory;
use chicory_types::Revision;

/// State of a zone, as known to the leader of the global group.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ZoneSummary {
    /// Directory of the zone's entry processes.
    pub directory: ZoneDirectory,
    /// Revision of the table in force there.
    pub revision_in_force: Revision,
    /// Whether the zone was in contact with the global group recently.
    pub is_reachable: bool,
    /// Number of slots in the zone's custody, over all services.
    pub custody_slots: u64,
}
