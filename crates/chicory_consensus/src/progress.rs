//! What a leader knows of one other member.

use std::collections::VecDeque;
use std::sync::Arc;

use chicory_types::{LogIndex, MonoTime};

use crate::Snapshot;

/// How entries reach the member.
#[derive(Debug)]
pub(crate) enum ProgressMode {
    /// Looks for the index where the logs match; one append at a time.
    Probe,
    /// Sends appends without waiting for answers, up to the window.
    Replicate,
    /// Sends a snapshot, one chunk at a time.
    Snapshot {
        snapshot: Arc<Snapshot>,
        offset_bytes: u64,
    },
}

/// What to send to the member next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum NextSend {
    Nothing,
    Append,
    Chunk,
}

/// What a leader knows of one other member.
#[derive(Debug)]
pub(crate) struct Progress {
    pub(crate) mode: ProgressMode,
    pub(crate) next_index: LogIndex,
    pub(crate) match_index: LogIndex,
    /// Last indices of the appends without an answer.
    pub(crate) inflight: VecDeque<LogIndex>,
    /// One message is out in probe or snapshot mode.
    pub(crate) is_waiting: bool,
    pub(crate) last_sent_at: MonoTime,
    /// When the latest answered message was sent.
    pub(crate) contact: Option<MonoTime>,
}

impl Progress {
    pub(crate) fn new(next_index: LogIndex, now: MonoTime) -> Self {
        Self {
            mode: ProgressMode::Probe,
            next_index,
            match_index: 0,
            inflight: VecDeque::new(),
            is_waiting: false,
            last_sent_at: now,
            contact: None,
        }
    }

    pub(crate) fn note_contact(&mut self, sent_at: MonoTime) {
        self.contact = self.contact.max(Some(sent_at));
    }

    pub(crate) fn is_replicating(&self) -> bool {
        matches!(self.mode, ProgressMode::Replicate)
    }

    /// Decides what to send, given the last index of the log.
    pub(crate) fn next_send(&self, last_index: LogIndex, window: usize) -> NextSend {
        let has_entries = self.next_index <= last_index;
        match self.mode {
            ProgressMode::Snapshot { .. } if !self.is_waiting => NextSend::Chunk,
            ProgressMode::Probe if !self.is_waiting && has_entries => NextSend::Append,
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
        self.is_waiting = false;
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
        self.is_waiting = false;
    }

    pub(crate) fn start_snapshot(&mut self, snapshot: Arc<Snapshot>) {
        self.mode = ProgressMode::Snapshot {
            snapshot,
            offset_bytes: 0,
        };
        self.inflight.clear();
        self.is_waiting = false;
    }

    pub(crate) fn on_chunk_taken(&mut self, last_index: LogIndex, next_offset_bytes: u64) {
        let ProgressMode::Snapshot {
            snapshot,
            offset_bytes,
        } = &mut self.mode
        else {
            return;
        };
        if snapshot.last_index == last_index && *offset_bytes != next_offset_bytes {
            *offset_bytes = next_offset_bytes.min(snapshot.data.len() as u64);
            self.is_waiting = false;
        }
    }

    pub(crate) fn on_installed(&mut self, last_index: LogIndex) {
        let is_current = matches!(&self.mode, ProgressMode::Snapshot { snapshot, .. }
            if snapshot.last_index == last_index);
        if is_current {
            self.mode = ProgressMode::Replicate;
            self.next_index = last_index + 1;
            self.on_matched(last_index);
        }
    }
}
