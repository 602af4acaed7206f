//! Membership changes, one at a time, on request or because the group needs them.

use chicory_types::{ClockRateMargin, LogIndex};

use super::{Replica, RoleState};
use crate::{
    EntryPayload, MAX_LEARNERS, MemberId, Membership, MembershipChange, ProposalRejection,
};

impl Replica {
    pub(super) fn on_propose_membership(&mut self, proposal_id: u64, change: &MembershipChange) {
        match self.check_membership_change(change) {
            Ok(next) => {
                let index = self.append_membership(next);
                self.proposals.insert(index, proposal_id);
            }
            Err(reason) => self.reject(proposal_id, reason),
        }
    }

    fn check_membership_change(
        &self,
        change: &MembershipChange,
    ) -> Result<Membership, ProposalRejection> {
        if !self.is_leader() {
            let leader = self.leader.clone();
            return Err(ProposalRejection::NotLeader { leader });
        }
        if !self.can_change_membership() {
            return Err(ProposalRejection::MembershipChangeInProgress);
        }
        let next = change.apply_to(self.membership());
        next.ok_or(ProposalRejection::InvalidMembershipChange)
    }

    /// Returns whether a change may be appended: an entry of the leader's own term and the former
    /// change must be committed.
    fn can_change_membership(&self) -> bool {
        let RoleState::Leader(leader_state) = &self.role else {
            return false;
        };
        self.commit_index >= leader_state.first_index
            && self.commit_index >= self.log.membership_index()
    }

    fn append_membership(&mut self, next: Membership) -> LogIndex {
        let index = self.append_in_own_term(EntryPayload::Membership(next));
        self.sync_progress_with_membership();
        index
    }

    /// Admits new incarnations of the bootstrap VMs as learners and promotes them once they have
    /// caught up. With open membership, admits any VM and replaces unresponsive voters. A leader
    /// that was removed steps down.
    pub(super) fn maintain_membership(&mut self) {
        if !self.can_change_membership() {
            return;
        }
        if !self.is_voter() {
            self.become_passive(self.hard_state.term);
            return;
        }
        if let Some(next) = self.due_membership() {
            self.append_membership(next);
        }
    }

    fn due_membership(&self) -> Option<Membership> {
        let new_member = self.new_member();
        if let Some(new_member) = new_member {
            return Some(self.with_new_member(new_member));
        }
        let learner = self.caught_up_learner()?;
        let change = match self.voter_to_replace() {
            Some(voter) => MembershipChange::Remove(voter),
            None if self.can_promote_now(&learner) => MembershipChange::Promote(learner),
            None => return None,
        };
        change.apply_to(self.membership())
    }

    /// Returns whether a learner may become a voter now.
    fn can_promote_now(&self, learner: &MemberId) -> bool {
        match self.config.open_voter_count {
            None => self.is_eligible_voter(learner),
            Some(voter_count) => self.membership().voters.len() < voter_count,
        }
    }

    /// Returns an unresponsive voter that a caught-up learner can replace. `None` unless the
    /// membership is open and has all its voters.
    fn voter_to_replace(&self) -> Option<MemberId> {
        let RoleState::Leader(leader_state) = &self.role else {
            return None;
        };
        let voters = &self.membership().voters;
        if voters.len() < self.config.open_voter_count? {
            return None;
        }
        let unresponsive = voters.iter().find(|voter| {
            let progress = leader_state.progress.get(voter);
            progress.is_some_and(|progress| {
                let last_contact_at = progress.contact_at.unwrap_or(leader_state.elected_at);
                self.now
                    >= last_contact_at.max(leader_state.elected_at)
                        + self.config.voter_contact_timeout
            })
        });
        unresponsive.cloned()
    }

    /// Returns a member that has made contact, may join and is not in the membership.
    fn new_member(&self) -> Option<MemberId> {
        let membership = self.membership();
        let own_vm = &self.config.member.vm;
        let applicants = self.latest_incarnations.iter().map(MemberId::from);
        applicants
            .filter(|applicant| applicant.vm != *own_vm && self.may_join(applicant))
            .find(|applicant| {
                let present = membership.member_on(&applicant.vm);
                present.is_none_or(|member| applicant.supersedes(member))
            })
    }

    /// Returns whether a VM that is not a member may become a learner.
    fn may_join(&self, applicant: &MemberId) -> bool {
        if self.config.open_voter_count.is_none() {
            return self.config.bootstrap_vms.contains(&applicant.vm);
        }
        let last_contact_at = self.last_contact_at.get(&applicant.vm);
        let is_recent =
            last_contact_at.is_some_and(|at| self.now < *at + self.config.voter_contact_timeout);
        let is_replacement = self.membership().member_on(&applicant.vm).is_some();
        is_recent && (is_replacement || self.membership().learners.len() < MAX_LEARNERS)
    }

    /// Returns the membership with `new_member` as a learner.
    ///
    /// Its former incarnation is removed in the same step, because it can neither vote nor
    /// acknowledge any more. The new one does not count before a later step, so quorums always
    /// overlap.
    fn with_new_member(&self, new_member: MemberId) -> Membership {
        let mut next = self.membership().clone();
        next.voters.retain(|member| member.vm != new_member.vm);
        next.learners.retain(|member| member.vm != new_member.vm);
        next.learners.insert(new_member);
        next
    }

    fn caught_up_learner(&self) -> Option<MemberId> {
        let mut learners = self.membership().learners.iter();
        learners
            .find(|learner| self.is_caught_up(learner) && self.is_eligible_voter(learner))
            .cloned()
    }

    fn is_eligible_voter(&self, learner: &MemberId) -> bool {
        self.config.open_voter_count.is_some() || self.config.bootstrap_vms.contains(&learner.vm)
    }

    /// Returns whether a learner is in contact, has the entry that admitted it and lags by no more
    /// than one append.
    fn is_caught_up(&self, learner: &MemberId) -> bool {
        let RoleState::Leader(leader_state) = &self.role else {
            return false;
        };
        let Some(progress) = leader_state.progress.get(learner) else {
            return false;
        };
        let lag = self.log.last_index().saturating_sub(progress.match_index);
        let lease = self.config.leader_lease;
        let is_in_contact = progress
            .contact_at
            .is_some_and(|at| self.now < ClockRateMargin::lease_expiry_for_holder(at, lease));
        progress.is_replicating()
            && is_in_contact
            && progress.match_index >= self.log.membership_index()
            && lag <= self.config.max_batch_entries as LogIndex
    }
}
