//! State that has to be durable before the group continues.

use chicory_consensus::{Entry, HardState, Snapshot};
use chicory_types::LogIndex;

/// State that has to be durable before the group continues.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PersistRequest {
    /// Identifier under which completion is reported.
    pub ticket: u64,
    /// New term and vote.
    pub hard_state: Option<HardState>,
    /// Remove stored entries from this index on.
    pub truncate_from: Option<LogIndex>,
    /// Snapshot that replaces all entries up to its last index.
    pub snapshot: Option<Snapshot>,
    /// Entries to append.
    pub entries: Vec<Entry>,
}
