//! Messages between the members of a group.

use chicory_types::{LogIndex, MonoTime, Term};
use serde::{Deserialize, Serialize};

use crate::{Entry, Hello, MemberId, SnapshotHeader};

/// One message between two members, with its sender and receiver.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerMessage {
    /// Epoch of the group; messages of another epoch are refused.
    pub group_epoch: u64,
    /// The member that sent the message.
    pub from: MemberId,
    /// The member that the message is for; a later incarnation of its VM does not act on it.
    pub to: MemberId,
    /// Content of the message.
    pub body: PeerMessageBody,
}

/// Content of a message.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PeerMessageBody {
    /// Announces the sender's incarnation and its status in the group.
    Hello(Hello),
    /// Asks whether a vote in `term` would be granted.
    PreVote {
        /// Term in which the sender would stand for election.
        term: Term,
        /// Index of the sender's last entry.
        last_index: LogIndex,
        /// Term of that entry.
        last_term: Term,
    },
    /// Answers a pre-vote.
    PreVoteResponse {
        /// Term of the responder.
        term: Term,
        /// Term that the pre-vote asked about.
        asked_term: Term,
        /// Whether a vote would be granted.
        granted: bool,
    },
    /// Asks for a vote.
    RequestVote {
        /// Term in which the sender stands for election.
        term: Term,
        /// Index of the sender's last entry.
        last_index: LogIndex,
        /// Term of that entry.
        last_term: Term,
        /// Whether the leader itself requested this election, after it released its lease.
        is_transfer: bool,
    },
    /// Answers a request for a vote.
    VoteResponse {
        /// Term of the responder.
        term: Term,
        /// Whether the vote was granted.
        granted: bool,
    },
    /// Replicates entries; without entries it is a heartbeat.
    Append {
        /// Term of the leader.
        term: Term,
        /// Index of the entry before `entries`.
        prev_index: LogIndex,
        /// Term of that entry.
        prev_term: Term,
        /// Entries to append.
        entries: Vec<Entry>,
        /// Commit index of the leader.
        commit_index: LogIndex,
        /// The leader's clock when it sent the message; the answer repeats it.
        sent_at: MonoTime,
    },
    /// Answers an append.
    AppendResponse {
        /// Term of the responder.
        term: Term,
        /// `sent_at` of the append.
        sent_at: MonoTime,
        /// Result of the append.
        outcome: AppendOutcome,
    },
    /// One chunk of a snapshot.
    SnapshotChunk {
        /// Term of the leader.
        term: Term,
        /// The snapshot that the chunk belongs to.
        header: SnapshotHeader,
        /// Offset of `data` in the snapshot's data.
        offset_bytes: u64,
        /// Content of the chunk.
        data: Vec<u8>,
        /// The leader's clock when it sent the message; the answer repeats it.
        sent_at: MonoTime,
    },
    /// Answers a chunk.
    SnapshotResponse {
        /// Term of the responder.
        term: Term,
        /// `sent_at` of the chunk.
        sent_at: MonoTime,
        /// Last index of the snapshot.
        last_index: LogIndex,
        /// Offset that the responder needs next; the size of the snapshot once it is installed.
        next_offset_bytes: u64,
        /// Whether the snapshot is installed.
        is_installed: bool,
    },
    /// Asks the receiver to stand for election immediately.
    TimeoutNow {
        /// Term of the leader that steps down.
        term: Term,
    },
}

/// Result of an append.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum AppendOutcome {
    /// The log matches the leader's up to this index and is durable up to there.
    Matched {
        /// Last index known to match.
        index: LogIndex,
    },
    /// The entry before the appended ones is missing or of another term.
    Conflict {
        /// `prev_index` of the append.
        prev_index: LogIndex,
        /// Greatest index at which the logs may still match.
        hint_index: LogIndex,
    },
}
