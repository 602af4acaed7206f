//! Conversions of the messages between the members of a group, and of a member's stored state.

use std::time::Duration;

use chicory_consensus::{
    AppendOutcome, Entry, EntryPayload, HardState, Hello, HelloStatus, MemberId, Membership,
    PeerMessage, PeerMessageBody, SnapshotHeader,
};

use crate::ConvertError;
use crate::convert_error::{from_messages, into_messages, required};
use crate::proto::common::Empty;
use crate::proto::consensus::append_response::Outcome;
use crate::proto::consensus::entry::Payload;
use crate::proto::consensus::hello::Status;
use crate::proto::consensus::peer_message::Body;
use crate::proto::consensus::{self, GroupName};
use crate::record_macro::convert_record;

convert_record!(
    MemberId,
    consensus::MemberId {
        plain: [vm, incarnation],
        nested: [],
        list: [],
    }
);

impl From<Membership> for consensus::Membership {
    fn from(membership: Membership) -> Self {
        Self {
            voters: membership.voters.into_iter().map(Into::into).collect(),
            learners: membership.learners.into_iter().map(Into::into).collect(),
        }
    }
}

impl TryFrom<consensus::Membership> for Membership {
    type Error = ConvertError;

    fn try_from(message: consensus::Membership) -> Result<Self, ConvertError> {
        let voters: Vec<MemberId> = from_messages(message.voters)?;
        let learners: Vec<MemberId> = from_messages(message.learners)?;
        Ok(Self {
            voters: voters.into_iter().collect(),
            learners: learners.into_iter().collect(),
        })
    }
}

impl From<Entry> for consensus::Entry {
    fn from(entry: Entry) -> Self {
        let payload = match entry.payload {
            EntryPayload::Noop => Payload::Noop(Empty {}),
            EntryPayload::Command(command) => Payload::Command(command),
            EntryPayload::Membership(membership) => Payload::Membership(membership.into()),
        };
        Self {
            index: entry.index,
            term: entry.term,
            payload: Some(payload),
        }
    }
}

impl TryFrom<consensus::Entry> for Entry {
    type Error = ConvertError;

    fn try_from(message: consensus::Entry) -> Result<Self, ConvertError> {
        let payload = match required(message.payload, "entry.payload")? {
            Payload::Noop(Empty {}) => EntryPayload::Noop,
            Payload::Command(command) => EntryPayload::Command(command),
            Payload::Membership(membership) => EntryPayload::Membership(membership.try_into()?),
        };
        Ok(Self {
            index: message.index,
            term: message.term,
            payload,
        })
    }
}

impl From<HardState> for consensus::HardState {
    fn from(state: HardState) -> Self {
        Self {
            term: state.term,
            voted_for: state.voted_for.map(Into::into),
        }
    }
}

impl TryFrom<consensus::HardState> for HardState {
    type Error = ConvertError;

    fn try_from(message: consensus::HardState) -> Result<Self, ConvertError> {
        Ok(Self {
            term: message.term,
            voted_for: message.voted_for.map(TryInto::try_into).transpose()?,
        })
    }
}

convert_record!(
    SnapshotHeader,
    consensus::SnapshotHeader {
        plain: [last_index, last_term, size_bytes],
        nested: [membership],
        list: [],
    }
);

impl From<HelloStatus> for Status {
    fn from(status: HelloStatus) -> Self {
        match status {
            HelloStatus::Joining => Self::Joining(Empty {}),
            HelloStatus::Forming => Self::Forming(Empty {}),
            HelloStatus::Bound(membership) => Self::Bound(membership.into()),
            HelloStatus::Formed => Self::Formed(Empty {}),
        }
    }
}

impl TryFrom<Status> for HelloStatus {
    type Error = ConvertError;

    fn try_from(status: Status) -> Result<Self, ConvertError> {
        Ok(match status {
            Status::Joining(Empty {}) => Self::Joining,
            Status::Forming(Empty {}) => Self::Forming,
            Status::Bound(membership) => Self::Bound(membership.try_into()?),
            Status::Formed(Empty {}) => Self::Formed,
        })
    }
}

impl From<AppendOutcome> for Outcome {
    fn from(outcome: AppendOutcome) -> Self {
        match outcome {
            AppendOutcome::Matched { index } => Self::MatchedIndex(index),
            AppendOutcome::Conflict {
                prev_index,
                hint_index,
            } => Self::Conflict(consensus::AppendConflict {
                prev_index,
                hint_index,
            }),
        }
    }
}

impl From<Outcome> for AppendOutcome {
    fn from(outcome: Outcome) -> Self {
        match outcome {
            Outcome::MatchedIndex(index) => Self::Matched { index },
            Outcome::Conflict(conflict) => Self::Conflict {
                prev_index: conflict.prev_index,
                hint_index: conflict.hint_index,
            },
        }
    }
}

/// Returns the nanoseconds of a duration, or the maximum if they don't fit.
fn nanos(span: Duration) -> u64 {
    u64::try_from(span.as_nanos()).unwrap_or(u64::MAX)
}

impl From<PeerMessageBody> for Body {
    fn from(body: PeerMessageBody) -> Self {
        match body {
            PeerMessageBody::Hello(hello) => Self::Hello(consensus::Hello {
                status: Some(hello.status.into()),
                leader: hello.leader,
            }),
            PeerMessageBody::PreVote {
                term,
                last_index,
                last_term,
            } => Self::PreVote(consensus::PreVote {
                term,
                last_index,
                last_term,
            }),
            PeerMessageBody::PreVoteResponse {
                term,
                asked_term,
                granted,
            } => Self::PreVoteResponse(consensus::PreVoteResponse {
                term,
                asked_term,
                granted,
            }),
            PeerMessageBody::RequestVote {
                term,
                last_index,
                last_term,
                is_transfer,
            } => Self::RequestVote(consensus::RequestVote {
                term,
                last_index,
                last_term,
                is_transfer,
            }),
            PeerMessageBody::VoteResponse { term, granted } => {
                Self::VoteResponse(consensus::VoteResponse { term, granted })
            }
            PeerMessageBody::Append {
                term,
                prev_index,
                prev_term,
                entries,
                commit_index,
                sent_at,
            } => Self::Append(consensus::Append {
                term,
                prev_index,
                prev_term,
                entries: into_messages(entries),
                commit_index,
                sent_at_ns: nanos(sent_at),
            }),
            PeerMessageBody::AppendResponse {
                term,
                sent_at,
                outcome,
            } => Self::AppendResponse(consensus::AppendResponse {
                term,
                sent_at_ns: nanos(sent_at),
                outcome: Some(outcome.into()),
            }),
            PeerMessageBody::SnapshotChunk {
                term,
                header,
                offset_bytes,
                data,
                sent_at,
            } => Self::SnapshotChunk(consensus::SnapshotChunk {
                term,
                header: Some(header.into()),
                offset_bytes,
                data,
                sent_at_ns: nanos(sent_at),
            }),
            PeerMessageBody::SnapshotResponse {
                term,
                sent_at,
                last_index,
                next_offset_bytes,
                is_installed,
            } => Self::SnapshotResponse(consensus::SnapshotResponse {
                term,
                sent_at_ns: nanos(sent_at),
                last_index,
                next_offset_bytes,
                is_installed,
            }),
            PeerMessageBody::TimeoutNow { term } => {
                Self::TimeoutNow(consensus::TimeoutNow { term })
            }
        }
    }
}

impl TryFrom<Body> for PeerMessageBody {
    type Error = ConvertError;

    fn try_from(body: Body) -> Result<Self, ConvertError> {
        Ok(match body {
            Body::Hello(hello) => Self::Hello(Hello {
                status: required(hello.status, "hello.status")?.try_into()?,
                leader: hello.leader,
            }),
            Body::PreVote(vote) => Self::PreVote {
                term: vote.term,
                last_index: vote.last_index,
                last_term: vote.last_term,
            },
            Body::PreVoteResponse(response) => Self::PreVoteResponse {
                term: response.term,
                asked_term: response.asked_term,
                granted: response.granted,
            },
            Body::RequestVote(vote) => Self::RequestVote {
                term: vote.term,
                last_index: vote.last_index,
                last_term: vote.last_term,
                is_transfer: vote.is_transfer,
            },
            Body::VoteResponse(response) => Self::VoteResponse {
                term: response.term,
                granted: response.granted,
            },
            Body::Append(append) => Self::Append {
                term: append.term,
                prev_index: append.prev_index,
                prev_term: append.prev_term,
                entries: from_messages(append.entries)?,
                commit_index: append.commit_index,
                sent_at: Duration::from_nanos(append.sent_at_ns),
            },
            Body::AppendResponse(response) => Self::AppendResponse {
                term: response.term,
                sent_at: Duration::from_nanos(response.sent_at_ns),
                outcome: required(response.outcome, "append_response.outcome")?.into(),
            },
            Body::SnapshotChunk(chunk) => Self::SnapshotChunk {
                term: chunk.term,
                header: required(chunk.header, "snapshot_chunk.header")?.try_into()?,
                offset_bytes: chunk.offset_bytes,
                data: chunk.data,
                sent_at: Duration::from_nanos(chunk.sent_at_ns),
            },
            Body::SnapshotResponse(response) => Self::SnapshotResponse {
                term: response.term,
                sent_at: Duration::from_nanos(response.sent_at_ns),
                last_index: response.last_index,
                next_offset_bytes: response.next_offset_bytes,
                is_installed: response.is_installed,
            },
            Body::TimeoutNow(message) => Self::TimeoutNow { term: message.term },
        })
    }
}

/// Converts a message between two members of a group into its wire format.
///
/// `group` is passed separately, because the domain type doesn't name the group.
#[must_use]
pub fn peer_message(group: GroupName, message: PeerMessage) -> consensus::PeerMessage {
    consensus::PeerMessage {
        group: group.into(),
        group_epoch: message.group_epoch,
        from: Some(message.from.into()),
        to: Some(message.to.into()),
        body: Some(message.body.into()),
    }
}

impl TryFrom<consensus::PeerMessage> for PeerMessage {
    type Error = ConvertError;

    fn try_from(message: consensus::PeerMessage) -> Result<Self, ConvertError> {
        Ok(Self {
            group_epoch: message.group_epoch,
            from: required(message.from, "peer_message.from")?.try_into()?,
            to: required(message.to, "peer_message.to")?.try_into()?,
            body: required(message.body, "peer_message.body")?.try_into()?,
        })
    }
}
