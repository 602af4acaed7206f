//! Effects that a replica asks its caller to carry out.

use chicory_types::{LogIndex, Term};

use crate::{Entry, HardState, MemberId, PeerMessage, ProposalRejection, Snapshot};

/// An effect returned by [`Replica::reduce`](crate::Replica::reduce), to be carried out in order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ReplicaEffect {
    /// Send a message; it may be lost, doubled or overtaken.
    Send {
        /// The receiver; incarnation 0 stands for whichever runs on the VM.
        to: MemberId,
        /// The message.
        message: PeerMessage,
    },
    /// Make state durable, in the order of the fields, then answer
    /// [`Persisted`](crate::ReplicaEvent::Persisted). The next one comes only after the answer, so
    /// all that gathers meanwhile is made durable with one fsync.
    Persist {
        /// Identifier for the answer, ascending.
        ticket: u64,
        /// New term and vote.
        hard_state: Option<HardState>,
        /// Remove stored entries from this index on.
        truncate_from: Option<LogIndex>,
        /// Snapshot that stands for all entries up to its last index.
        snapshot: Option<Snapshot>,
        /// Entries to append.
        entries: Vec<Entry>,
    },
    /// Apply a committed command; indices ascend, each is given once per start of the replica.
    Apply {
        /// Index of the entry.
        index: LogIndex,
        /// Term of the entry.
        term: Term,
        /// The command.
        command: Vec<u8>,
        /// Identifier of the proposal when this replica took it as leader.
        proposal_id: Option<u64>,
    },
    /// Replace the state machine's state by a snapshot.
    InstallSnapshot {
        /// Index of the last entry in the snapshot.
        index: LogIndex,
        /// The serialised state; empty stands for the initial state.
        data: Vec<u8>,
    },
    /// A proposal was not taken, or its outcome is unknown.
    Rejected {
        /// Identifier of the proposal.
        proposal_id: u64,
        /// Why.
        reason: ProposalRejection,
    },
    /// The replica leads from now on; reads wait for
    /// [`Replica::has_leader_lease`](crate::Replica::has_leader_lease).
    BecameLeader {
        /// Term of the leadership.
        term: Term,
    },
    /// The replica leads no longer.
    LostLeadership {
        /// Term of the former leadership.
        term: Term,
    },
    /// The log has grown: serialise the state machine and answer
    /// [`SnapshotTaken`](crate::ReplicaEvent::SnapshotTaken) with the index.
    TakeSnapshot {
        /// Index of the last applied entry.
        index: LogIndex,
    },
    /// The group was formed anew with this greater epoch: the replica stops taking part, and the
    /// caller starts another one from fresh state.
    EpochSuperseded {
        /// The greater epoch.
        group_epoch: u64,
    },
}
