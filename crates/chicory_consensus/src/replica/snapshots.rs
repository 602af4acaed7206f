//! Taking snapshots, sending them in chunks and installing them.

use chicory_types::LogIndex;

use super::Replica;
use crate::progress::{Progress, ProgressMode};
use crate::snapshot_receiver::{ChunkOutcome, SnapshotReceiver};
use crate::{MemberId, PeerMessageBody, ReplicaEffect, Snapshot, SnapshotHeader};

impl Replica {
    pub(super) fn request_snapshot(&mut self) {
        let entries = self.applied_index - self.log.snapshot().last_index;
        let is_due = entries >= self.config.snapshot_after_entries
            || self.applied_bytes_since_snapshot >= self.config.snapshot_after_bytes;
        if is_due && !self.is_snapshot_requested {
            self.is_snapshot_requested = true;
            self.effects.push(ReplicaEffect::TakeSnapshot {
                index: self.applied_index,
            });
        }
    }

    pub(super) fn on_snapshot_taken(&mut self, index: LogIndex, data: Vec<u8>) {
        self.is_snapshot_requested = false;
        if index <= self.log.snapshot().last_index || index > self.applied_index {
            return;
        }
        let (Some(last_term), Some(membership)) =
            (self.log.term_at(index), self.log.membership_at(index))
        else {
            return;
        };
        let snapshot = Snapshot {
            last_index: index,
            last_term,
            membership: membership.clone(),
            data,
        };
        self.applied_bytes_since_snapshot = 0;
        self.persist_queue.set_snapshot(snapshot.clone());
        self.log.compact(snapshot, self.config.trailing_entries);
    }

    pub(super) fn send_snapshot_chunk(&mut self, peer: &MemberId, progress: &mut Progress) {
        progress.is_awaiting_response = true;
        progress.last_sent_at = self.now;
        let ProgressMode::Snapshot {
            snapshot,
            offset_bytes,
        } = &progress.mode
        else {
            return;
        };
        let start = usize::try_from(*offset_bytes).unwrap_or(usize::MAX);
        let rest = snapshot.data.get(start..).unwrap_or_default();
        let len = rest.len().min(self.config.snapshot_chunk_bytes);
        let body = PeerMessageBody::SnapshotChunk {
            term: self.hard_state.term,
            header: snapshot.header(),
            offset_bytes: *offset_bytes,
            data: rest[..len].to_vec(),
            sent_at: self.now,
        };
        self.send(peer, body);
    }

    pub(super) fn on_snapshot_chunk(&mut self, from: &MemberId, body: PeerMessageBody) {
        let PeerMessageBody::SnapshotChunk {
            term,
            header,
            offset_bytes,
            data,
            sent_at,
        } = body
        else {
            return;
        };
        let last_index = header.last_index;
        if last_index == LogIndex::MAX || header.last_term > term {
            return;
        }
        let size_bytes = header.size_bytes;
        let outcome = if self.accept_leader(from, term) {
            self.accept_chunk(header, offset_bytes, &data)
        } else {
            ChunkOutcome::Incomplete { offset_bytes }
        };
        let (next_offset_bytes, is_installed) = match outcome {
            ChunkOutcome::Incomplete { offset_bytes } => (offset_bytes, false),
            ChunkOutcome::Complete => (size_bytes, true),
        };
        let response = PeerMessageBody::SnapshotResponse {
            term: self.hard_state.term,
            sent_at,
            last_index,
            next_offset_bytes,
            is_installed,
        };
        self.send_when_durable(from, response);
    }

    fn accept_chunk(
        &mut self,
        header: SnapshotHeader,
        offset_bytes: u64,
        data: &[u8],
    ) -> ChunkOutcome {
        if self.covers_snapshot(&header) {
            self.commit_index = self.commit_index.max(header.last_index);
            self.receiver = None;
            return ChunkOutcome::Complete;
        }
        let term = self.hard_state.term;
        let is_current = self
            .receiver
            .as_ref()
            .is_some_and(|current| current.is_for(term, &header));
        let mut receiver = match self.receiver.take() {
            Some(receiver) if is_current => receiver,
            _ => SnapshotReceiver::new(term, header),
        };
        let outcome = receiver.add_chunk(offset_bytes, data);
        match outcome {
            ChunkOutcome::Complete => self.install_snapshot(receiver.into_snapshot()),
            ChunkOutcome::Incomplete { .. } => self.receiver = Some(receiver),
        }
        outcome
    }

    /// Returns whether the log already holds everything that the snapshot covers. The snapshot is
    /// then not installed, because entries after it were acknowledged and must stay.
    fn covers_snapshot(&self, header: &SnapshotHeader) -> bool {
        if self.log.membership().is_none() {
            return false;
        }
        header.last_index <= self.commit_index
            || self.log.term_at(header.last_index) == Some(header.last_term)
    }

    fn install_snapshot(&mut self, snapshot: Snapshot) {
        let index = snapshot.last_index;
        let data = snapshot.data.clone();
        let was_learner = self.membership().learners.contains(&self.config.member);
        self.persist_queue.replace_log(snapshot.clone());
        self.log.install(snapshot);
        self.is_voting_disabled &= !was_learner;
        self.commit_index = index;
        self.applied_index = index;
        self.applied_bytes_since_snapshot = 0;
        self.is_snapshot_requested = false;
        self.effects
            .push(ReplicaEffect::InstallSnapshot { index, data });
    }
}
