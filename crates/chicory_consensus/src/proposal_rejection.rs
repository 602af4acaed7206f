//! Why a proposal was not taken.

use crate::MemberId;

/// Why a proposal was not taken, or that its outcome is unknown.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ProposalRejection {
    /// This replica does not lead; nothing was appended.
    NotLeader {
        /// The leader, when known.
        leader: Option<MemberId>,
    },
    /// The replica lost its leadership before the entry was committed: the outcome is unknown.
    LeadershipLost,
    /// Another change of the membership is not committed yet; nothing was appended.
    MembershipChangeInProgress,
    /// The change does not fit the membership; nothing was appended.
    InvalidMembershipChange,
    /// The replica can't take proposals now; nothing was appended.
    NotReady,
    /// Too many entries wait for their commit; nothing was appended.
    Busy,
}
