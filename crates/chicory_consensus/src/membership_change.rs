//! Membership changes that a caller can request.

use crate::{MemberId, Membership};

/// One change of the membership, which adds or removes at most one voter.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MembershipChange {
    /// Adds a member that receives the log, but does not count yet.
    AddLearner(MemberId),
    /// Turns a learner into a voter.
    Promote(MemberId),
    /// Removes a voter or learner.
    Remove(MemberId),
}

impl MembershipChange {
    /// Returns the membership after this change, or `None` if it can't be applied to `current`.
    #[must_use]
    pub fn apply_to(&self, current: &Membership) -> Option<Membership> {
        let mut next = current.clone();
        let is_applicable = match self {
            Self::AddLearner(member) => {
                !current.contains(member) && next.learners.insert(member.clone())
            }
            Self::Promote(member) => {
                next.learners.remove(member) && next.voters.insert(member.clone())
            }
            Self::Remove(member) => next.voters.remove(member) || next.learners.remove(member),
        };
        (is_applicable && !next.voters.is_empty()).then_some(next)
    }
}
