//! Events that a replica reacts to.

use chicory_types::LogIndex;

use crate::{MemberId, MembershipChange, PeerMessage};

/// An event for [`Replica::reduce`](crate::Replica::reduce).
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ReplicaEvent {
    /// Time went on; due no later than [`Replica::next_wakeup`](crate::Replica::next_wakeup).
    Tick,
    /// A message arrived. `from.vm` is the authenticated peer and `from` equals `message.from`;
    /// anything else is ignored.
    Received {
        /// The authenticated sender.
        from: MemberId,
        /// The message.
        message: PeerMessage,
    },
    /// A command is to be appended.
    Propose {
        /// Identifier chosen by the caller; it comes back in the outcome.
        proposal_id: u64,
        /// The command.
        command: Vec<u8>,
    },
    /// The membership is to change.
    ProposeMembership {
        /// Identifier chosen by the caller; a rejection carries it.
        proposal_id: u64,
        /// The change.
        change: MembershipChange,
    },
    /// Everything up to this ticket is durable. A process without a disk answers at once.
    Persisted {
        /// Ticket of the [`Persist`](crate::ReplicaEffect::Persist) effect.
        ticket: u64,
    },
    /// The state of this ticket could not be made durable.
    PersistFailed {
        /// Ticket of the [`Persist`](crate::ReplicaEffect::Persist) effect.
        ticket: u64,
    },
    /// The state machine was serialised as of `index`.
    SnapshotTaken {
        /// Index of the last applied entry in `data`.
        index: LogIndex,
        /// The serialised state.
        data: Vec<u8>,
    },
    /// The leader is to give way to the most advanced voter, before a planned stop.
    TransferLeadership,
}
