//! One replicated state machine: a replica of the log and the state machine that it drives.

use std::collections::BTreeMap;

use chicory_consensus::{Replica, ReplicaEffect, ReplicaEvent};
use chicory_types::{LogIndex, MonoTime};

use crate::{GroupEffect, GroupEffects, PersistRequest, StateMachine};

/// One replicated state machine: a replica of the log and the state machine that it drives.
///
/// `W` identifies what waits for the outcome of a proposal, such as a call.
pub struct Group<M, W> {
    replica: Replica,
    machine: M,
    /// Whether state is written to a disk; otherwise every write counts as done at once.
    is_durable: bool,
    waiters: BTreeMap<u64, W>,
    next_proposal_id: u64,
}

impl<M: StateMachine, W> Group<M, W> {
    /// Creates the group around a replica and the machine's initial state.
    #[must_use]
    pub fn new(replica: Replica, machine: M, is_durable: bool) -> Self {
        Self {
            replica,
            machine,
            is_durable,
            waiters: BTreeMap::new(),
            next_proposal_id: 1,
        }
    }

    /// Returns the replica of the log.
    #[must_use]
    pub fn replica(&self) -> &Replica {
        &self.replica
    }

    /// Returns the state machine, to which all committed commands known here were applied.
    #[must_use]
    pub fn machine(&self) -> &M {
        &self.machine
    }

    /// Returns whether this process is certain to lead the group and has applied all entries that
    /// were committed before its term.
    #[must_use]
    pub fn has_authority(&self, now: MonoTime) -> bool {
        self.replica.is_leader() && self.replica.has_leader_lease(now)
    }

    /// Returns whether proposals of this process still wait for their outcome.
    #[must_use]
    pub fn has_proposals(&self) -> bool {
        !self.waiters.is_empty()
    }

    /// Proposes a command and returns the effects that follow.
    pub fn propose(&mut self, now: MonoTime, command: M::Command, waiter: W) -> GroupEffects<M, W> {
        let proposal_id = self.next_proposal_id;
        self.next_proposal_id += 1;
        self.waiters.insert(proposal_id, waiter);
        let command = M::encode_command(command);
        self.reduce(
            now,
            ReplicaEvent::Propose {
                proposal_id,
                command,
            },
        )
    }

    /// Passes one event to the replica and returns the effects that follow.
    pub fn reduce(&mut self, now: MonoTime, event: ReplicaEvent) -> GroupEffects<M, W> {
        let mut effects = Vec::new();
        let mut events = vec![event];
        while let Some(event) = events.pop() {
            for effect in self.replica.reduce(now, event) {
                events.extend(self.carry_out(effect, &mut effects));
            }
        }
        effects
    }

    /// Carries out one effect of the replica. Returns the event that follows from it, if any.
    fn carry_out(
        &mut self,
        effect: ReplicaEffect,
        effects: &mut GroupEffects<M, W>,
    ) -> Option<ReplicaEvent> {
        match effect {
            ReplicaEffect::Send { to, message } => effects.push(GroupEffect::Send { to, message }),
            ReplicaEffect::Persist { ticket, .. } if !self.is_durable => {
                return Some(ReplicaEvent::Persisted { ticket });
            }
            ReplicaEffect::Persist {
                ticket,
                hard_state,
                truncate_from,
                snapshot,
                entries,
            } => effects.push(GroupEffect::Persist(Box::new(PersistRequest {
                ticket,
                hard_state,
                truncate_from,
                snapshot,
                entries,
            }))),
            ReplicaEffect::Apply {
                index,
                command,
                proposal_id,
                ..
            } => effects.push(self.apply(index, &command, proposal_id)),
            ReplicaEffect::InstallSnapshot { data, .. } => {
                if let Err(error) = self.machine.restore(&data) {
                    effects.push(GroupEffect::Corrupt(error));
                }
            }
            ReplicaEffect::Rejected {
                proposal_id,
                reason,
            } => {
                if let Some(waiter) = self.waiters.remove(&proposal_id) {
                    effects.push(GroupEffect::Rejected { waiter, reason });
                }
            }
            ReplicaEffect::BecameLeader { term } => {
                effects.push(GroupEffect::BecameLeader { term });
            }
            ReplicaEffect::LostLeadership { .. } => effects.push(GroupEffect::LostLeadership),
            ReplicaEffect::TakeSnapshot { index } => {
                let data = self.machine.encode_snapshot();
                return Some(ReplicaEvent::SnapshotTaken { index, data });
            }
            ReplicaEffect::EpochSuperseded { group_epoch } => {
                effects.push(GroupEffect::Superseded { group_epoch });
            }
        }
        None
    }

    fn apply(
        &mut self,
        index: LogIndex,
        command: &[u8],
        proposal_id: Option<u64>,
    ) -> GroupEffect<M::Outcome, W> {
        let waiter = proposal_id.and_then(|proposal| self.waiters.remove(&proposal));
        match M::decode_command(command) {
            Ok(command) => GroupEffect::Applied {
                outcome: self.machine.apply(index, &command),
                waiter,
            },
            Err(error) => GroupEffect::Corrupt(error),
        }
    }
}
