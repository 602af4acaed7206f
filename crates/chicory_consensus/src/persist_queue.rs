//! What waits to be made durable.

use chicory_types::LogIndex;

use crate::memory_log::MemoryLog;
use crate::{HardState, ReplicaEffect, Snapshot};

/// Gathers changes of durable state while the storage is busy with the former ones.
#[derive(Debug, Default)]
pub(crate) struct PersistQueue {
    last_ticket: u64,
    persisted_ticket: u64,
    hard_state: Option<HardState>,
    truncate_from: Option<LogIndex>,
    snapshot: Option<Snapshot>,
    /// Last index that was handed to the storage.
    handed_index: LogIndex,
    /// Last index that the outstanding ticket makes durable.
    outstanding_index: LogIndex,
    stable_index: LogIndex,
}

impl PersistQueue {
    pub(crate) fn new(stable_index: LogIndex) -> Self {
        Self {
            handed_index: stable_index,
            outstanding_index: stable_index,
            stable_index,
            ..Self::default()
        }
    }

    /// Last index that is durable.
    pub(crate) fn stable_index(&self) -> LogIndex {
        self.stable_index
    }

    pub(crate) fn set_hard_state(&mut self, hard_state: &HardState) {
        self.hard_state = Some(hard_state.clone());
    }

    pub(crate) fn set_snapshot(&mut self, snapshot: Snapshot) {
        self.snapshot = Some(snapshot);
    }

    /// A snapshot takes the place of the whole log.
    pub(crate) fn replace_log(&mut self, snapshot: Snapshot) {
        let last_index = snapshot.last_index;
        self.truncate_from(last_index + 1);
        self.truncate_from = Some(last_index + 1);
        self.snapshot = Some(snapshot);
        self.handed_index = last_index;
    }

    pub(crate) fn truncate_from(&mut self, index: LogIndex) {
        if self.handed_index >= index {
            self.handed_index = index - 1;
            let earlier = self.truncate_from.unwrap_or(index);
            self.truncate_from = Some(earlier.min(index));
        }
        self.outstanding_index = self.outstanding_index.min(index - 1);
        self.stable_index = self.stable_index.min(index - 1);
    }

    fn is_dirty(&self, last_index: LogIndex) -> bool {
        self.hard_state.is_some()
            || self.truncate_from.is_some()
            || self.snapshot.is_some()
            || self.handed_index < last_index
    }

    /// Whether the storage has not answered yet.
    pub(crate) fn is_busy(&self) -> bool {
        self.persisted_ticket < self.last_ticket
    }

    /// The ticket that makes durable everything changed so far.
    pub(crate) fn covering_ticket(&self, last_index: LogIndex) -> u64 {
        self.last_ticket + u64::from(self.is_dirty(last_index))
    }

    pub(crate) fn is_persisted(&self, ticket: u64) -> bool {
        ticket <= self.persisted_ticket
    }

    /// Hands over what has gathered, unless the storage is busy.
    pub(crate) fn take(&mut self, log: &MemoryLog) -> Option<ReplicaEffect> {
        let last_index = log.last_index();
        if self.is_busy() || !self.is_dirty(last_index) {
            return None;
        }
        self.last_ticket += 1;
        let entries = log.tail(self.handed_index + 1);
        self.handed_index = last_index;
        self.outstanding_index = last_index;
        Some(ReplicaEffect::Persist {
            ticket: self.last_ticket,
            hard_state: self.hard_state.take(),
            truncate_from: self.truncate_from.take(),
            snapshot: self.snapshot.take(),
            entries,
        })
    }

    /// Takes note of the storage's answer.
    pub(crate) fn on_persisted(&mut self, ticket: u64) {
        if ticket == self.last_ticket && self.is_busy() {
            self.persisted_ticket = ticket;
            self.stable_index = self.outstanding_index;
        }
    }
}
