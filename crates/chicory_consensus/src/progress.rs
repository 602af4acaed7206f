//! Replication progress of one other member.

use std::collections::VecDeque;
use std::sync::Arc;

use chicory_types::{LogIndex, MonoTime};

use crate::Snapshot;

/// How the leader sends entries to the member.
#[derive(Debug)]
pub(crate) enum ProgressMode {
    /// Searches for the index up to which the logs match, with one append at a time.
    Probe,
    /// Sends appends without waiting for responses, up to the in-flight window.
    Replicate,
    /// Sends a snapshot, one chunk at a time.
    Snapshot {
        snapshot: Arc<Snapshot>,
        offset_bytes: u64,
    },
}

/// Kind of message to send to the member next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum NextSend {
    Nothing,
    Append,
    Chunk,
}

/// Replication progress of one other member, as tracked by the leader.
#[derive(Debug)]
pub(crate) struct Progress {
    pub(crate) mode: ProgressMode,
    pub(crate) next_index: LogIndex,
    pub(crate) match_index: LogIndex,
    /// Last index of each append that the member has not answered, in the order of sending.
    pub(crate) inflight: VecDeque<LogIndex>,
    /// Whether a message is unanswered in probe or snapshot mode, which allow one at a time.
    pub(crate) is_awaiting_response: bool,
    pub(crate) last_sent_at: MonoTime,
    /// Send time of the latest message that the member has answered.
    pub(crate) contact_at: Option<MonoTime>,
}

impl Progress {
    pub(crate) fn new(next_index: LogIndex, now: MonoTime) -> Self {
        Self {
            mode: ProgressMode::Probe,
            next_index,
            match_index: 0,
            inflight: VecDeque::new(),
            is_awaiting_response: false,
            last_sent_at: now,
            contact_at: None,
        }
    }

    pub(crate) fn record_contact(&mut self, sent_at: MonoTime) {
        self.contact_at = self.contact_at.max(Some(sent_at));
    }

    pub(crate) fn is_replicating(&self) -> bool {
        matches!(self.mode, ProgressMode::Replicate)
    }

    /// Returns what to send next, given the last index of the log.
    pub(crate) fn next_send(&self, last_index: LogIndex, window: usize) -> NextSend {
        let has_entries = self.next_index <= last_index;
        match self.mode {
            ProgressMode::Snapshot { .. } if !self.is_awaiting_response => NextSend::Chunk,
            ProgressMode::Probe if !self.is_awaiting_response && has_entries => NextSend::Append,
            ProgressMode::Replicate if self.inflight.len() < window && has_entries => {
                NextSend::Append
            }
            _ => NextSend::Nothing,
        }
    }

    pub(crate) fn on_matched(&mut self, index: LogIndex) {
        self.match_index = self.match_index.max(index);
        self.next_index = self.next_index.max(self.match_index + 1);
        while self.inflight.front().is_some_and(|last| *last <= index) {
            self.inflight.pop_front();
        }
        if matches!(self.mode, ProgressMode::Probe) {
            self.mode = ProgressMode::Replicate;
        }
        self.is_awaiting_response = false;
    }

    pub(crate) fn on_conflict(&mut self, prev_index: LogIndex, hint_index: LogIndex) {
        let is_stale = prev_index <= self.match_index || prev_index >= self.next_index;
        if is_stale || matches!(self.mode, ProgressMode::Snapshot { .. }) {
            return;
        }
        let retry_from = hint_index.min(prev_index - 1) + 1;
        self.next_index = retry_from.max(self.match_index + 1);
        self.mode = ProgressMode::Probe;
        self.inflight.clear();
        self.is_awaiting_response = false;
    }

    pub(crate) fn start_snapshot(&mut self, snapshot: Arc<Snapshot>) {
        self.mode = ProgressMode::Snapshot {
            snapshot,
            offset_bytes: 0,
        };
        self.inflight.clear();
        self.is_awaiting_response = false;
    }

    pub(crate) fn on_chunk_accepted(&mut self, last_index: LogIndex, next_offset_bytes: u64) {
        let ProgressMode::Snapshot {
            snapshot,
            offset_bytes,
        } = &mut self.mode
        else {
            return;
        };
        if snapshot.last_index == last_index && *offset_bytes != next_offset_bytes {
            *offset_bytes = next_offset_bytes.min(snapshot.data.len() as u64);
            self.is_awaiting_response = false;
        }
    }

    pub(crate) fn on_snapshot_installed(&mut self, last_index: LogIndex) {
        let is_current = matches!(&self.mode, ProgressMode::Snapshot { snapshot, .. }
            if snapshot.last_index == last_index);
        if is_current {
            self.mode = ProgressMode::Replicate;
            self.next_index = last_index + 1;
            self.on_matched(last_index);
        }
    }
}
