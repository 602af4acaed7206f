//! The members of a group.

use std::collections::BTreeSet;

use chicory_types::VmId;
use serde::{Deserialize, Serialize};

use crate::MemberId;

/// Voters and learners of a group.
///
/// The latest membership in the log is in effect, whether it is committed or not.
///
/// # Examples
///
/// ```
/// use chicory_consensus::{MemberId, Membership};
///
/// let membership = Membership::of_voters([MemberId::new("vm-a", 1), MemberId::new("vm-b", 1)]);
/// assert_eq!(membership.quorum(), 2);
/// ```
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Membership {
    /// Members whose votes and acknowledgements count.
    pub voters: BTreeSet<MemberId>,
    /// Members that receive the log, but whose votes and acknowledgements do not count.
    pub learners: BTreeSet<MemberId>,
}

impl Membership {
    /// Creates a membership without learners.
    #[must_use]
    pub fn of_voters(voters: impl IntoIterator<Item = MemberId>) -> Self {
        Self {
            voters: voters.into_iter().collect(),
            learners: BTreeSet::new(),
        }
    }

    /// Returns the number of voters that form a majority.
    #[must_use]
    pub fn quorum(&self) -> usize {
        self.voters.len() / 2 + 1
    }

    /// Returns whether `member` is a voter.
    #[must_use]
    pub fn is_voter(&self, member: &MemberId) -> bool {
        self.voters.contains(member)
    }

    /// Returns whether `member` is a voter or a learner.
    #[must_use]
    pub fn contains(&self, member: &MemberId) -> bool {
        self.is_voter(member) || self.learners.contains(member)
    }

    /// Iterates over voters, then learners.
    pub fn members(&self) -> impl Iterator<Item = &MemberId> {
        self.voters.iter().chain(&self.learners)
    }

    /// Returns the member that runs on `vm`, if there is one.
    #[must_use]
    pub fn member_on(&self, vm: &VmId) -> Option<&MemberId> {
        self.members().find(|member| member.vm == *vm)
    }
}
