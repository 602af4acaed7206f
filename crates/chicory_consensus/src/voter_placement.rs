//! Which members of a group with open membership have a vote.

use std::collections::{BTreeMap, BTreeSet};

use chicory_types::{VmId, ZoneName};

use crate::MemberId;

/// Size of the smallest group that tolerates a loss.
const MIN_TOLERANT_VOTERS: usize = 3;

/// Next change of the voters of a group with open membership.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum VoterStep {
    /// Nothing is to change.
    Keep,
    /// This learner becomes a voter.
    Promote(MemberId),
    /// This voter is removed.
    Remove(MemberId),
}

/// The state of a group that decides which of its members have a vote.
///
/// The number of voters is kept at `voter_count`, and voters are spread evenly over availability
/// zones, so that the loss of one zone costs as few of them as possible. Each step changes one
/// voter, so the quorums before and after it overlap.
///
/// # Examples
///
/// ```
/// use std::collections::{BTreeMap, BTreeSet};
/// use chicory_consensus::{MemberId, VoterPlacement, VoterStep};
///
/// let [a, b, c] = ["vm-a", "vm-b", "vm-c"].map(|vm| MemberId::new(vm, 1));
/// let (voters, ready) = (BTreeSet::from([a.clone(), b]), BTreeSet::from([c.clone()]));
/// let placement = VoterPlacement {
///     voter_count: 3,
///     leader: &a,
///     voters: &voters,
///     unresponsive: BTreeSet::new(),
///     ready: ready.iter().collect(),
///     zones: &BTreeMap::new(),
/// };
/// assert_eq!(placement.next_step(), VoterStep::Promote(c));
/// ```
#[derive(Debug)]
pub struct VoterPlacement<'a> {
    /// Number of voters that the group should have.
    pub voter_count: usize,
    /// The leader, which is not removed while it is in contact with a quorum.
    pub leader: &'a MemberId,
    /// The voters.
    pub voters: &'a BTreeSet<MemberId>,
    /// Voters that have been without contact for the contact timeout.
    pub unresponsive: BTreeSet<&'a MemberId>,
    /// Learners that are in contact and have caught up.
    pub ready: BTreeSet<&'a MemberId>,
    /// Availability zones of VMs, as far as they are known.
    pub zones: &'a BTreeMap<VmId, ZoneName>,
}

impl VoterPlacement<'_> {
    /// Returns the next change of the voters.
    #[must_use]
    pub fn next_step(&self) -> VoterStep {
        if self.voters.len() > self.voter_count {
            return into_step(self.surplus_voter(), VoterStep::Remove);
        }
        if self.can_grow() {
            return into_step(self.best_learner(), VoterStep::Promote);
        }
        if !self.unresponsive.is_empty() {
            return into_step(self.replaceable_voter(), VoterStep::Remove);
        }
        into_step(self.learner_for_even_spread(), VoterStep::Promote)
    }

    /// Returns whether enough learners are ready to enlarge the group. From three voters on, one
    /// more voter alone enlarges the quorum and not the number of losses that are tolerated.
    fn can_grow(&self) -> bool {
        let missing = self.voter_count.saturating_sub(self.voters.len());
        let is_odd = !self.voters.len().is_multiple_of(2);
        let needed = if is_odd && self.voters.len() >= MIN_TOLERANT_VOTERS {
            missing.min(2)
        } else {
            missing.min(1)
        };
        needed > 0 && self.ready.len() >= needed
    }

    /// Returns the learner in the availability zone with the fewest voters.
    fn best_learner(&self) -> Option<&MemberId> {
        let ready = self.ready.iter().copied();
        ready.min_by_key(|learner| (self.zone_of(learner).is_none(), self.voters_beside(learner)))
    }

    /// Returns an unresponsive voter that a learner can replace.
    fn replaceable_voter(&self) -> Option<&MemberId> {
        let unresponsive = self.unresponsive.iter().copied();
        let most_crowded = unresponsive.max_by_key(|voter| self.voters_beside(voter));
        most_crowded.filter(|_| !self.ready.is_empty())
    }

    /// Returns the voter to remove from a group with too many: an unresponsive one if there is one,
    /// otherwise one in the availability zone with the most voters.
    fn surplus_voter(&self) -> Option<&MemberId> {
        let others = self.voters.iter().filter(|voter| *voter != self.leader);
        others.max_by_key(|voter| (self.unresponsive.contains(voter), self.voters_beside(voter)))
    }

    /// Returns a learner whose vote in place of another one spreads the voters more evenly. It gets
    /// the vote first, so that the group never tolerates less.
    fn learner_for_even_spread(&self) -> Option<&MemberId> {
        if self.voters.len() != self.voter_count {
            return None;
        }
        let most = self.voters.iter().map(|voter| self.voters_beside(voter));
        let most = most.max().unwrap_or(0);
        let learner = self.best_learner()?;
        let is_located = self.zone_of(learner).is_some();
        (is_located && self.voters_beside(learner) + 2 <= most).then_some(learner)
    }

    /// Returns the number of voters in the availability zone of a member, with itself if it votes;
    /// 0 if its zone is not known.
    fn voters_beside(&self, member: &MemberId) -> usize {
        let Some(zone) = self.zone_of(member) else {
            return 0;
        };
        let voters = self.voters.iter();
        voters
            .filter(|voter| self.zone_of(voter) == Some(zone))
            .count()
    }

    fn zone_of(&self, member: &MemberId) -> Option<&ZoneName> {
        self.zones.get(&member.vm)
    }
}

fn into_step(member: Option<&MemberId>, step: impl Fn(MemberId) -> VoterStep) -> VoterStep {
    member.cloned().map_or(VoterStep::Keep, step)
}
