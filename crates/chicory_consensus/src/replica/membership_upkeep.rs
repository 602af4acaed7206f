//! One change of the membership at a time, asked for or found to be due.

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

    /// A change needs an entry of the own term and the former change to be committed.
    fn can_change_membership(&self) -> bool {
        let RoleState::Leader(leading) = &self.role else {
            return false;
        };
        self.commit_index >= leading.first_index && self.commit_index >= self.log.membership_index()
    }

    fn append_membership(&mut self, next: Membership) -> LogIndex {
        let index = self.append_own(EntryPayload::Membership(next));
        self.match_progress_to_membership();
        index
    }

    /// Admits new incarnations of the bootstrap VMs as learners and promotes them once they have
    /// caught up; a leader that was removed steps down.
    pub(super) fn keep_up_membership(&mut self) {
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
        let newcomer = self.newcomer();
        if let Some(newcomer) = newcomer {
            return Some(self.with_newcomer(newcomer));
        }
        let learner = self.caught_up_learner()?;
        let change = match self.voter_to_replace() {
            Some(voter) => MembershipChange::Remove(voter),
            None if self.has_seat(&learner) => MembershipChange::Promote(learner),
            None => return None,
        };
        change.apply_to(self.membership())
    }

    /// Whether a learner may become a voter now.
    fn has_seat(&self, learner: &MemberId) -> bool {
        match self.config.open_voters {
            None => self.is_candidate(learner),
            Some(voter_count) => self.membership().voters.len() < voter_count,
        }
    }

    /// A silent voter whose seat a caught-up learner of an open group can take.
    fn voter_to_replace(&self) -> Option<MemberId> {
        let RoleState::Leader(leading) = &self.role else {
            return None;
        };
        let voters = &self.membership().voters;
        if voters.len() < self.config.open_voters? {
            return None;
        }
        let silent = voters.iter().find(|voter| {
            let progress = leading.progress.get(voter);
            progress.is_some_and(|progress| {
                let heard_at = progress.contact.unwrap_or(leading.elected_at);
                self.now >= heard_at.max(leading.elected_at) + self.config.voter_silence
            })
        });
        silent.cloned()
    }

    /// A member that was heard of but is not in the membership.
    fn newcomer(&self) -> Option<MemberId> {
        let membership = self.membership();
        let own_vm = &self.config.member.vm;
        let heard = self.contacts.iter().map(MemberId::from);
        heard
            .filter(|heard| heard.vm != *own_vm && self.may_join(heard))
            .find(|heard| {
                let present = membership.member_on(&heard.vm);
                present.is_none_or(|member| heard.supersedes(member))
            })
    }

    /// Whether a VM that is not a member may become a learner.
    fn may_join(&self, heard: &MemberId) -> bool {
        if self.config.open_voters.is_none() {
            return self.config.bootstrap_vms.contains(&heard.vm);
        }
        let heard_at = self.heard_at.get(&heard.vm);
        let is_recent = heard_at.is_some_and(|at| self.now < *at + self.config.voter_silence);
        let is_replacement = self.membership().member_on(&heard.vm).is_some();
        is_recent && (is_replacement || self.membership().learners.len() < MAX_LEARNERS)
    }

    /// The former incarnation leaves in the same step: it can neither vote nor acknowledge any
    /// more. The new one does not count before a later step, so quorums always overlap.
    fn with_newcomer(&self, newcomer: MemberId) -> Membership {
        let mut next = self.membership().clone();
        next.voters.retain(|member| member.vm != newcomer.vm);
        next.learners.retain(|member| member.vm != newcomer.vm);
        next.learners.insert(newcomer);
        next
    }

    fn caught_up_learner(&self) -> Option<MemberId> {
        let mut learners = self.membership().learners.iter();
        learners
            .find(|learner| self.is_caught_up(learner) && self.is_candidate(learner))
            .cloned()
    }

    fn is_candidate(&self, learner: &MemberId) -> bool {
        self.config.open_voters.is_some() || self.config.bootstrap_vms.contains(&learner.vm)
    }

    /// Whether a learner has the entry that admitted it and lags by no more than one append.
    fn is_caught_up(&self, learner: &MemberId) -> bool {
        let RoleState::Leader(leading) = &self.role else {
            return false;
        };
        let Some(progress) = leading.progress.get(learner) else {
            return false;
        };
        let lag = self.log.last_index().saturating_sub(progress.match_index);
        let lease = self.config.leader_lease;
        let is_in_contact = progress
            .contact
            .is_some_and(|at| self.now < ClockRateMargin::holder_end(at, lease));
        progress.is_replicating()
            && is_in_contact
            && progress.match_index >= self.log.membership_index()
            && lag <= self.config.max_batch_entries as LogIndex
    }
}
