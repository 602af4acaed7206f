//! Changes of the membership that a caller may ask for.

use crate::{MemberId, Membership};

/// One change of the membership; at most one voter differs before and after.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MembershipChange {
    /// Sends the log to a new member that does not count yet.
    AddLearner(MemberId),
    /// Makes a learner a voter.
    Promote(MemberId),
    /// Removes a voter or learner.
    Remove(MemberId),
}

impl MembershipChange {
    /// The membership after this change; `None` when the change does not fit `current`.
    #[must_use]
    pub fn apply_to(&self, current: &Membership) -> Option<Membership> {
        let mut next = current.clone();
        let fits = match self {
            Self::AddLearner(member) => {
                !current.contains(member) && next.learners.insert(member.clone())
            }
            Self::Promote(member) => {
                next.learners.remove(member) && next.voters.insert(member.clone())
            }
            Self::Remove(member) => next.voters.remove(member) || next.learners.remove(member),
        };
        (fits && !next.voters.is_empty()).then_some(next)
    }
}
