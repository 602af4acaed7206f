//! Events that a replica handles.

use chicory_types::{LogIndex, VmId, ZoneName};

use crate::{MemberId, MembershipChange, PeerMessage};

/// An event for [`Replica::reduce`](crate::Replica::reduce).
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ReplicaEvent {
    /// Time has passed; due no later than [`Replica::next_wakeup`](crate::Replica::next_wakeup).
    Tick,
    /// A message arrived. The caller has authenticated `from.vm`. The message is ignored unless
    /// `from` equals `message.from`.
    Received {
        /// The authenticated sender.
        from: MemberId,
        /// The message.
        message: PeerMessage,
    },
    /// It became known in which availability zone a VM is.
    Located {
        /// The VM.
        vm: VmId,
        /// Its availability zone.
        zone: ZoneName,
    },
    /// A command has been proposed for the log.
    Propose {
        /// Identifier chosen by the caller; the outcome repeats it.
        proposal_id: u64,
        /// The command.
        command: Vec<u8>,
    },
    /// A change of the membership has been proposed.
    ProposeMembership {
        /// Identifier chosen by the caller; a rejection repeats it.
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
    /// The leader should transfer its leadership to the most advanced voter, before a planned
    /// stop.
    TransferLeadership,
}
