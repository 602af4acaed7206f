//! Membership changes, one at a time, on request or because the group needs them.

use std::time::Duration;

use chicory_types::{ClockRateMargin, LogIndex};

use super::{Replica, RoleState};
use crate::{
    EntryPayload, LEARNER_TIMEOUT_FACTOR, MAX_LEARNERS, MemberId, Membership, MembershipChange,
    ProposalRejection, VoterPlacement, VoterStep,
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
    /// caught up. With open membership, admits any VM and decides which members vote. A leader
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
        if let Some(new_member) = self.new_member() {
            return Some(self.with_new_member(new_member));
        }
        let change = match self.config.open_voter_count {
            Some(voter_count) => self.due_change_of_open_group(voter_count)?,
            None => MembershipChange::Promote(self.eligible_learner()?),
        };
        change.apply_to(self.membership())
    }

    fn due_change_of_open_group(&self, voter_count: usize) -> Option<MembershipChange> {
        if let Some(learner) = self.lost_learner() {
            return Some(MembershipChange::Remove(learner));
        }
        match self.next_voter_step(voter_count) {
            VoterStep::Keep => None,
            VoterStep::Promote(learner) => Some(MembershipChange::Promote(learner)),
            VoterStep::Remove(voter) => Some(MembershipChange::Remove(voter)),
        }
    }

    fn next_voter_step(&self, voter_count: usize) -> VoterStep {
        let Membership { voters, learners } = self.membership();
        let contact_timeout = self.config.voter_contact_timeout;
        let placement = VoterPlacement {
            voter_count,
            leader: &self.config.member,
            voters,
            unresponsive: voters
                .iter()
                .filter(|voter| self.is_silent_for(voter, contact_timeout))
                .collect(),
            ready: learners
                .iter()
                .filter(|learner| self.is_caught_up(learner))
                .collect(),
            zones: &self.zones,
        };
        placement.next_step()
    }

    /// Returns whether another member has made no contact with this leader for `timeout`.
    fn is_silent_for(&self, member: &MemberId, timeout: Duration) -> bool {
        let RoleState::Leader(leader_state) = &self.role else {
            return false;
        };
        let progress = leader_state.progress.get(member);
        progress.is_some_and(|progress| {
            let last_contact_at = progress.contact_at.unwrap_or(leader_state.elected_at);
            self.now >= last_contact_at.max(leader_state.elected_at) + timeout
        })
    }

    /// Returns a learner that does not come back. If the group can't admit another one otherwise, it
    /// is given up as soon as a voter would be.
    fn lost_learner(&self) -> Option<MemberId> {
        let learners = &self.membership().learners;
        let contact_timeout = self.config.voter_contact_timeout;
        let timeout = if learners.len() < MAX_LEARNERS {
            contact_timeout * LEARNER_TIMEOUT_FACTOR
        } else {
            contact_timeout
        };
        let mut learners = learners.iter();
        learners
            .find(|learner| self.is_silent_for(learner, timeout))
            .cloned()
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

    /// Returns a caught-up learner on a bootstrap VM.
    fn eligible_learner(&self) -> Option<MemberId> {
        let mut learners = self.membership().learners.iter();
        let is_eligible = |learner: &MemberId| self.config.bootstrap_vms.contains(&learner.vm);
        learners
            .find(|learner| self.is_caught_up(learner) && is_eligible(learner))
            .cloned()
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
