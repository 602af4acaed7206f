//! Reasons why a proposal is rejected.

use crate::MemberId;

/// Reason why a proposal was not accepted, or why its outcome is unknown.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ProposalRejection {
    /// This replica is not the leader; nothing was appended.
    NotLeader {
        /// The leader, if known.
        leader: Option<MemberId>,
    },
    /// The replica lost its leadership before the entry was committed: the outcome is unknown.
    LeadershipLost,
    /// Another change of the membership is not committed yet; nothing was appended.
    MembershipChangeInProgress,
    /// The change can't be applied to the membership; nothing was appended.
    InvalidMembershipChange,
    /// The replica can't accept proposals now; nothing was appended.
    NotReady,
    /// Too many entries are uncommitted; nothing was appended.
    Busy,
}
