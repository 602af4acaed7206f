//! Changes that wait to be made durable.

use chicory_types::LogIndex;

use crate::memory_log::MemoryLog;
use crate::{HardState, ReplicaEffect, Snapshot};

/// Collects changes of the durable state while the storage is busy with earlier ones.
#[derive(Debug, Default)]
pub(crate) struct PersistQueue {
    last_ticket: u64,
    persisted_ticket: u64,
    hard_state: Option<HardState>,
    truncate_from: Option<LogIndex>,
    snapshot: Option<Snapshot>,
    /// Last index that was submitted to the storage.
    submitted_index: LogIndex,
    /// Last index that is durable once the outstanding ticket is persisted.
    outstanding_index: LogIndex,
    durable_index: LogIndex,
}

impl PersistQueue {
    pub(crate) fn new(durable_index: LogIndex) -> Self {
        Self {
            submitted_index: durable_index,
            outstanding_index: durable_index,
            durable_index,
            ..Self::default()
        }
    }

    /// Returns the last durable index.
    pub(crate) fn durable_index(&self) -> LogIndex {
        self.durable_index
    }

    pub(crate) fn set_hard_state(&mut self, hard_state: &HardState) {
        self.hard_state = Some(hard_state.clone());
    }

    pub(crate) fn set_snapshot(&mut self, snapshot: Snapshot) {
        self.snapshot = Some(snapshot);
    }

    /// Replaces the whole stored log with a snapshot.
    pub(crate) fn replace_log(&mut self, snapshot: Snapshot) {
        let last_index = snapshot.last_index;
        self.truncate_from(last_index + 1);
        self.truncate_from = Some(last_index + 1);
        self.snapshot = Some(snapshot);
        self.submitted_index = last_index;
    }

    pub(crate) fn truncate_from(&mut self, index: LogIndex) {
        if self.submitted_index >= index {
            self.submitted_index = index - 1;
            let earlier = self.truncate_from.unwrap_or(index);
            self.truncate_from = Some(earlier.min(index));
        }
        self.outstanding_index = self.outstanding_index.min(index - 1);
        self.durable_index = self.durable_index.min(index - 1);
    }

    fn is_dirty(&self, last_index: LogIndex) -> bool {
        self.hard_state.is_some()
            || self.truncate_from.is_some()
            || self.snapshot.is_some()
            || self.submitted_index < last_index
    }

    /// Returns whether the storage has yet to confirm the latest ticket.
    pub(crate) fn is_busy(&self) -> bool {
        self.persisted_ticket < self.last_ticket
    }

    /// Returns the ticket whose confirmation shows that all changes so far are durable.
    pub(crate) fn covering_ticket(&self, last_index: LogIndex) -> u64 {
        self.last_ticket + u64::from(self.is_dirty(last_index))
    }

    pub(crate) fn is_persisted(&self, ticket: u64) -> bool {
        ticket <= self.persisted_ticket
    }

    /// Returns the collected changes as one effect, unless the storage is busy or there are none.
    pub(crate) fn take_pending(&mut self, log: &MemoryLog) -> Option<ReplicaEffect> {
        let last_index = log.last_index();
        if self.is_busy() || !self.is_dirty(last_index) {
            return None;
        }
        self.last_ticket += 1;
        let entries = log.entries_from(self.submitted_index + 1);
        self.submitted_index = last_index;
        self.outstanding_index = last_index;
        Some(ReplicaEffect::Persist {
            ticket: self.last_ticket,
            hard_state: self.hard_state.take(),
            truncate_from: self.truncate_from.take(),
            snapshot: self.snapshot.take(),
            entries,
        })
    }

    /// Records that the storage has made the changes of `ticket` durable.
    pub(crate) fn on_persisted(&mut self, ticket: u64) {
        if ticket == self.last_ticket && self.is_busy() {
            self.persisted_ticket = ticket;
            self.durable_index = self.outstanding_index;
        }
    }
}
