//! Snapshots of the state machine.

use chicory_types::{LogIndex, Term};
use serde::{Deserialize, Serialize};

use crate::Membership;

/// Metadata of a snapshot: everything except its data.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SnapshotHeader {
    /// Index of the last entry that the snapshot covers.
    pub last_index: LogIndex,
    /// Term of that entry.
    pub last_term: Term,
    /// Membership as of that entry.
    pub membership: Membership,
    /// Size of the data.
    pub size_bytes: u64,
}

/// State of the state machine up to one index, with the membership as of that index.
///
/// The snapshot at index 0 holds the founding membership and no data.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Snapshot {
    /// Index of the last entry that the snapshot covers.
    pub last_index: LogIndex,
    /// Term of that entry.
    pub last_term: Term,
    /// Membership as of that entry.
    pub membership: Membership,
    /// State of the state machine, opaque to the log.
    pub data: Vec<u8>,
}

impl Snapshot {
    /// Returns the header of this snapshot.
    #[must_use]
    pub fn header(&self) -> SnapshotHeader {
        SnapshotHeader {
            last_index: self.last_index,
            last_term: self.last_term,
            membership: self.membership.clone(),
            size_bytes: self.data.len() as u64,
        }
    }
}
