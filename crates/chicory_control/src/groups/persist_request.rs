//! What is to be made durable before the group goes on.

use chicory_consensus::{Entry, HardState, Snapshot};
use chicory_types::LogIndex;

/// What is to be made durable before the group goes on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PersistRequest {
    /// Identifier for the answer.
    pub ticket: u64,
    /// New term and vote.
    pub hard_state: Option<HardState>,
    /// Remove stored entries from this index on.
    pub truncate_from: Option<LogIndex>,
    /// Snapshot that stands for all entries up to its last index.
    pub snapshot: Option<Snapshot>,
    /// Entries to append.
    pub entries: Vec<Entry>,
}
