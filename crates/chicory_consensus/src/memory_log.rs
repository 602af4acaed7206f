//! The part of the replicated log that a replica keeps in memory.

use std::collections::VecDeque;
use std::sync::Arc;

use chicory_types::{LogIndex, Term};

use crate::{Entry, EntryPayload, Membership, Snapshot};

/// Latest snapshot, the retained entries, and the memberships that take effect in them.
#[derive(Debug, Default)]
pub(crate) struct MemoryLog {
    snapshot: Arc<Snapshot>,
    base_index: LogIndex,
    base_term: Term,
    entries: VecDeque<Entry>,
    memberships: Vec<(LogIndex, Membership)>,
}

impl MemoryLog {
    pub(crate) fn restore(snapshot: Option<Snapshot>, entries: Vec<Entry>) -> Self {
        let mut log = Self::default();
        if let Some(snapshot) = snapshot {
            log.install(snapshot);
        }
        for entry in entries {
            if entry.index == log.last_index() + 1 {
                log.append(entry);
            }
        }
        log
    }

    pub(crate) fn snapshot(&self) -> &Arc<Snapshot> {
        &self.snapshot
    }

    /// Returns the index before the first retained entry.
    pub(crate) fn base_index(&self) -> LogIndex {
        self.base_index
    }

    pub(crate) fn last_index(&self) -> LogIndex {
        self.base_index + self.entries.len() as LogIndex
    }

    pub(crate) fn last_term(&self) -> Term {
        self.entries.back().map_or(self.base_term, |e| e.term)
    }

    pub(crate) fn term_at(&self, index: LogIndex) -> Option<Term> {
        if index == self.base_index {
            return Some(self.base_term);
        }
        self.entry(index).map(|e| e.term)
    }

    pub(crate) fn entry(&self, index: LogIndex) -> Option<&Entry> {
        let offset = index.checked_sub(self.base_index + 1)?;
        self.entries.get(usize::try_from(offset).ok()?)
    }

    /// Copies the entries starting at `from`, up to both limits, but at least one if there is one.
    pub(crate) fn batch(&self, from: LogIndex, max_entries: usize, max_bytes: usize) -> Vec<Entry> {
        let mut bytes = 0;
        let mut batch = Vec::new();
        for index in from..=self.last_index() {
            let Some(entry) = self.entry(index) else {
                break;
            };
            bytes += entry.payload.size_bytes();
            let is_full = batch.len() >= max_entries || bytes > max_bytes;
            if is_full && !batch.is_empty() {
                break;
            }
            batch.push(entry.clone());
        }
        batch
    }

    /// Copies all retained entries starting at `from`.
    pub(crate) fn entries_from(&self, from: LogIndex) -> Vec<Entry> {
        let first = from.max(self.base_index + 1);
        self.batch(first, usize::MAX, usize::MAX)
    }

    pub(crate) fn append(&mut self, entry: Entry) {
        if let EntryPayload::Membership(membership) = &entry.payload {
            self.memberships.push((entry.index, membership.clone()));
        }
        self.entries.push_back(entry);
    }

    pub(crate) fn truncate_from(&mut self, index: LogIndex) {
        while self.last_index() >= index && !self.entries.is_empty() {
            self.entries.pop_back();
        }
        self.memberships.retain(|(at, _)| *at < index);
    }

    /// Replaces the whole log with a snapshot.
    pub(crate) fn install(&mut self, snapshot: Snapshot) {
        self.base_index = snapshot.last_index;
        self.base_term = snapshot.last_term;
        self.entries.clear();
        self.memberships = vec![(snapshot.last_index, snapshot.membership.clone())];
        self.snapshot = Arc::new(snapshot);
    }

    /// Stores a snapshot of this replica's state and drops the entries that it covers, except for
    /// the last `trailing` ones.
    pub(crate) fn compact(&mut self, snapshot: Snapshot, trailing: u64) {
        let keep_after = snapshot.last_index.saturating_sub(trailing);
        self.snapshot = Arc::new(snapshot);
        while self.base_index < keep_after {
            let Some(entry) = self.entries.pop_front() else {
                break;
            };
            self.base_index = entry.index;
            self.base_term = entry.term;
        }
        let base_index = self.base_index;
        let in_effect = self
            .memberships
            .iter()
            .rposition(|(at, _)| *at <= base_index);
        if let Some(position) = in_effect {
            self.memberships.drain(..position);
        }
    }

    /// Returns the membership in effect, which is the last one in the log; `None` before the group
    /// was formed.
    pub(crate) fn membership(&self) -> Option<&Membership> {
        self.memberships.last().map(|(_, membership)| membership)
    }

    /// Returns the index of the entry that holds the membership in effect.
    pub(crate) fn membership_index(&self) -> LogIndex {
        self.memberships.last().map_or(0, |(index, _)| *index)
    }

    /// Returns the membership as of `index`.
    pub(crate) fn membership_at(&self, index: LogIndex) -> Option<&Membership> {
        let at_or_before = self.memberships.iter().rev().find(|(at, _)| *at <= index);
        at_or_before.map(|(_, membership)| membership)
    }
}
