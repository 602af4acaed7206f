//! Reassembles a snapshot from its chunks.

use chicory_types::Term;

use crate::{Snapshot, SnapshotHeader};

/// A partly received snapshot, which one leader sends in chunks.
#[derive(Debug)]
pub(crate) struct SnapshotReceiver {
    term: Term,
    header: SnapshotHeader,
    data: Vec<u8>,
}

/// State of the snapshot after a chunk.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum ChunkOutcome {
    /// More data is needed from this offset on.
    Incomplete { offset_bytes: u64 },
    /// The snapshot is complete.
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

    /// Adds a chunk; a chunk that does not continue the data received so far is ignored.
    pub(crate) fn add_chunk(&mut self, offset_bytes: u64, chunk: &[u8]) -> ChunkOutcome {
        let end_bytes = offset_bytes.saturating_add(chunk.len() as u64);
        let is_next_chunk = offset_bytes == self.data.len() as u64;
        if is_next_chunk && end_bytes <= self.header.size_bytes {
            self.data.extend_from_slice(chunk);
        }
        if self.data.len() as u64 == self.header.size_bytes {
            return ChunkOutcome::Complete;
        }
        ChunkOutcome::Incomplete {
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
