//! Puts the chunks of a snapshot together.

use chicory_types::Term;

use crate::{Snapshot, SnapshotHeader};

/// A snapshot that arrives in chunks from one leader.
#[derive(Debug)]
pub(crate) struct SnapshotReceiver {
    term: Term,
    header: SnapshotHeader,
    data: Vec<u8>,
}

/// What became of a chunk.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum ChunkOutcome {
    /// More data is needed from this offset on.
    Wanted { offset_bytes: u64 },
    /// The snapshot is whole.
    Complete,
}

impl SnapshotReceiver {
    pub(crate) fn new(term: Term, header: SnapshotHeader) -> Self {
        Self {
            term,
            header,
            data: Vec::new(),
        }
    }

    pub(crate) fn is_for(&self, term: Term, header: &SnapshotHeader) -> bool {
        self.term == term && self.header == *header
    }

    /// Adds a chunk; one that does not follow on the data so far changes nothing.
    pub(crate) fn add(&mut self, offset_bytes: u64, chunk: &[u8]) -> ChunkOutcome {
        let end_bytes = offset_bytes.saturating_add(chunk.len() as u64);
        let follows = offset_bytes == self.data.len() as u64;
        if follows && end_bytes <= self.header.size_bytes {
            self.data.extend_from_slice(chunk);
        }
        if self.data.len() as u64 == self.header.size_bytes {
            return ChunkOutcome::Complete;
        }
        ChunkOutcome::Wanted {
            offset_bytes: self.data.len() as u64,
        }
    }

    pub(crate) fn into_snapshot(self) -> Snapshot {
        Snapshot {
            last_index: self.header.last_index,
            last_term: self.header.last_term,
            membership: self.header.membership,
            data: self.data,
        }
    }
}
