//! Applies committed entries to the state machine.

use super::Replica;
use crate::{EntryPayload, ReplicaEffect};

impl Replica {
    pub(super) fn restore_applied_state(&mut self) {
        let snapshot = self.log.snapshot().clone();
        if snapshot.last_index > 0 {
            self.effects.push(ReplicaEffect::InstallSnapshot {
                index: snapshot.last_index,
                data: snapshot.data.clone(),
            });
        }
    }

    pub(super) fn apply_committed(&mut self) {
        while self.applied_index < self.commit_index {
            let index = self.applied_index + 1;
            let Some(entry) = self.log.entry(index) else {
                return;
            };
            let term = entry.term;
            self.applied_bytes_since_snapshot += entry.payload.size_bytes() as u64;
            let command = match &entry.payload {
                EntryPayload::Command(command) => Some(command.clone()),
                EntryPayload::Noop | EntryPayload::Membership(_) => None,
            };
            self.applied_index = index;
            let proposal_id = self.proposals.remove(&index);
            if let Some(command) = command {
                self.effects.push(ReplicaEffect::Apply {
                    index,
                    term,
                    command,
                    proposal_id,
                });
            }
        }
    }
}
