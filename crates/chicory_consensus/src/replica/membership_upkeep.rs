//! One change of the membership at a time, asked for or found to be due.

use chicory_types::{ClockRateMargin, LogIndex};

use super::{Replica, RoleState};
use crate::{EntryPayload, MemberId, Membership, MembershipChange, ProposalRejection};

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
        MembershipChange::Promote(learner).apply_to(self.membership())
    }

    /// A member that was heard of but is not in the membership.
    fn newcomer(&self) -> Option<MemberId> {
        let membership = self.membership();
        let bootstrap_vms = self.config.bootstrap_vms.iter();
        let others = bootstrap_vms.filter(|vm| **vm != self.config.member.vm);
        others
            .filter_map(|vm| Some(MemberId::new(vm, *self.contacts.get(vm)?)))
            .find(|heard| {
                let present = membership.member_on(&heard.vm);
                present.is_none_or(|member| heard.supersedes(member))
            })
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
        let learners = self.membership().learners.iter();
        learners
            .filter(|learner| self.is_caught_up(learner))
            .find_map(|learner| {
                let is_bootstrap = self.config.bootstrap_vms.contains(&learner.vm);
                is_bootstrap.then(|| learner.clone())
            })
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
