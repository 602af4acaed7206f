//! State that a member has stored. Members without a disk keep it too, so that checks can read it.

use chicory_consensus::{Entry, HardState, ReplicaEffect, RestoredState, Snapshot};

#[derive(Clone, Debug, Default)]
pub struct DurableState {
    pub hard_state: HardState,
    pub snapshot: Option<Snapshot>,
    pub entries: Vec<Entry>,
}

impl DurableState {
    pub fn persist(&mut self, effect: ReplicaEffect) {
        let ReplicaEffect::Persist {
            hard_state,
            truncate_from,
            snapshot,
            entries,
            ..
        } = effect
        else {
            return;
        };
        self.hard_state = hard_state.unwrap_or(self.hard_state.clone());
        if let Some(from) = truncate_from {
            self.entries.retain(|e| e.index < from);
        }
        if let Some(snapshot) = snapshot {
            self.entries.retain(|e| e.index > snapshot.last_index);
            self.snapshot = Some(snapshot);
        }
        let covered = self.snapshot_index();
        self.entries
            .extend(entries.into_iter().filter(|e| e.index > covered));
    }

    pub fn snapshot_index(&self) -> u64 {
        self.snapshot.as_ref().map_or(0, |s| s.last_index)
    }

    pub fn restored(&self) -> RestoredState {
        RestoredState {
            hard_state: self.hard_state.clone(),
            snapshot: self.snapshot.clone(),
            entries: self.entries.clone(),
            may_vote: true,
        }
    }

    /// Returns whether the logs match: two logs with the same term at an index must have the same
    /// entries up to there.
    pub fn matches(&self, other: &Self) -> bool {
        let mut must_match = false;
        for mine in self.entries.iter().rev() {
            let Some(theirs) = other.entries.iter().find(|e| e.index == mine.index) else {
                continue;
            };
            must_match |= mine.term == theirs.term;
            if must_match && mine != theirs {
                return false;
            }
        }
        true
    }
}
