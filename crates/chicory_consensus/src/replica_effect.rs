//! Effects that a replica asks its caller to carry out.

use chicory_types::{LogIndex, Term};

use crate::{Entry, HardState, MemberId, PeerMessage, ProposalRejection, Snapshot};

/// An effect returned by [`Replica::reduce`](crate::Replica::reduce), to be carried out in order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ReplicaEffect {
    /// Send a message; it may be lost, duplicated or reordered.
    Send {
        /// The receiver; incarnation 0 means whichever incarnation runs on the VM.
        to: MemberId,
        /// The message.
        message: PeerMessage,
    },
    /// Make state durable, in the order of the fields, then answer with
    /// [`Persisted`](crate::ReplicaEvent::Persisted). The next `Persist` is returned only after the
    /// answer, so that all changes in between are made durable with one fsync.
    Persist {
        /// Identifier to answer with; identifiers ascend.
        ticket: u64,
        /// New term and vote.
        hard_state: Option<HardState>,
        /// Remove stored entries from this index on.
        truncate_from: Option<LogIndex>,
        /// Snapshot that replaces all entries up to its last index.
        snapshot: Option<Snapshot>,
        /// Entries to append.
        entries: Vec<Entry>,
    },
    /// Apply a committed command. Indices ascend, and each is returned at most once per start of
    /// the replica.
    Apply {
        /// Index of the entry.
        index: LogIndex,
        /// Term of the entry.
        term: Term,
        /// The command.
        command: Vec<u8>,
        /// Identifier of the proposal, if this replica accepted it as leader.
        proposal_id: Option<u64>,
    },
    /// Replace the state of the state machine with a snapshot.
    InstallSnapshot {
        /// Index of the last entry in the snapshot.
        index: LogIndex,
        /// The serialised state; empty data means the initial state.
        data: Vec<u8>,
    },
    /// A proposal was rejected, or its outcome is unknown.
    Rejected {
        /// Identifier of the proposal.
        proposal_id: u64,
        /// Reason of the rejection or of the unknown outcome.
        reason: ProposalRejection,
    },
    /// The replica has become leader. Reads have to wait for
    /// [`Replica::has_leader_lease`](crate::Replica::has_leader_lease).
    BecameLeader {
        /// Term of the leadership.
        term: Term,
    },
    /// The replica is no longer leader.
    LostLeadership {
        /// Term of the former leadership.
        term: Term,
    },
    /// Serialise the state machine, because the log has grown until a snapshot is due, and answer
    /// with [`SnapshotTaken`](crate::ReplicaEvent::SnapshotTaken) and the index.
    TakeSnapshot {
        /// Index of the last applied entry.
        index: LogIndex,
    },
    /// The group was formed again with this greater epoch. The replica stops taking part, and the
    /// caller has to start another one from fresh state.
    EpochSuperseded {
        /// The greater epoch.
        group_epoch: u64,
    },
}
