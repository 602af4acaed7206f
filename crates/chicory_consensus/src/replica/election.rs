//! Elections: pre-vote, vote, and transfer of leadership.

use std::collections::BTreeSet;

use chicory_types::{ClockRateMargin, LogIndex, Term};
use rand::RngExt;

use super::{Phase, Replica, RoleState};
use crate::{MemberId, PeerMessageBody, ProposalRejection, ReplicaEffect};

/// Term and index of the last entry of a log; the log with the greater position is more advanced.
type LogPosition = (Term, LogIndex);

impl Replica {
    pub(super) fn on_election_timeout(&mut self) {
        self.reset_election_deadline();
        if self.is_own_vote_pending() {
            return;
        }
        self.leader = None;
        if !self.can_campaign() {
            self.role = RoleState::Passive;
            self.hello_deadline = self.hello_deadline.min(self.now);
            return;
        }
        if self.is_sole_voter() {
            self.start_election(false);
            return;
        }
        self.start_pre_vote();
    }

    /// Returns whether the replica may stand for election.
    ///
    /// While its storage is busy, it can't make a vote for itself durable. If it stood anyway, its
    /// term would grow with each attempt and other candidates could not win against it.
    fn can_campaign(&self) -> bool {
        self.can_vote() && self.is_voter() && !self.persist_queue.is_busy()
    }

    fn is_own_vote_pending(&self) -> bool {
        match self.role {
            RoleState::Candidate {
                self_vote_ticket, ..
            } => !self.persist_queue.is_persisted(self_vote_ticket),
            _ => false,
        }
    }

    /// Sets a short deadline, after which an attempt without a majority is repeated: there is no
    /// leader to wait for.
    fn reset_retry_deadline(&mut self) {
        let min = self.config.election_timeout_min;
        self.election_deadline = self.now + self.rng.random_range(min / 4..min * 3 / 4);
    }

    fn can_vote(&self) -> bool {
        matches!(self.phase, Phase::Formed) && !self.is_voting_disabled
    }

    fn position(&self) -> LogPosition {
        (self.log.last_term(), self.log.last_index())
    }

    fn start_pre_vote(&mut self) {
        self.reset_retry_deadline();
        let granted = BTreeSet::from([self.config.member.clone()]);
        self.role = RoleState::PreCandidate { granted };
        let (last_term, last_index) = self.position();
        for voter in self.peer_voters() {
            let body = PeerMessageBody::PreVote {
                term: self.hard_state.term.saturating_add(1),
                last_index,
                last_term,
            };
            self.send(&voter, body);
        }
    }

    fn start_election(&mut self, is_transfer: bool) {
        self.set_term(self.hard_state.term.saturating_add(1));
        self.vote_for(self.config.member.clone());
        self.leader = None;
        self.reset_retry_deadline();
        self.role = RoleState::Candidate {
            granted: BTreeSet::new(),
            self_vote_ticket: self.covering_ticket(),
        };
        let (last_term, last_index) = self.position();
        for voter in self.peer_voters() {
            let body = PeerMessageBody::RequestVote {
                term: self.hard_state.term,
                last_index,
                last_term,
                is_transfer,
            };
            self.send_when_durable(&voter, body);
        }
    }

    fn vote_for(&mut self, candidate: MemberId) {
        self.hard_state.voted_for = Some(candidate);
        self.persist_queue.set_hard_state(&self.hard_state);
    }

    pub(super) fn count_own_vote(&mut self) {
        let member = self.config.member.clone();
        if let RoleState::Candidate {
            granted,
            self_vote_ticket,
        } = &mut self.role
            && self.persist_queue.is_persisted(*self_vote_ticket)
        {
            granted.insert(member);
            self.count_votes();
        }
    }

    /// Returns whether a leader may still rely on this member not to vote for another candidate.
    fn is_bound_by_lease(&self) -> bool {
        let RoleState::Leader(leader_state) = &self.role else {
            return self.now < self.refuse_votes_until;
        };
        let lease = self.config.leader_lease;
        let contact_at = leader_state
            .quorum_contact_at
            .unwrap_or(leader_state.elected_at);
        self.now < ClockRateMargin::lease_expiry_for_grantor(contact_at, lease)
    }

    pub(super) fn on_pre_vote(
        &mut self,
        from: &MemberId,
        asked_term: Term,
        candidate_position: LogPosition,
    ) {
        let granted = self.can_vote()
            && !self.is_bound_by_lease()
            && asked_term > self.hard_state.term
            && candidate_position >= self.position();
        let body = PeerMessageBody::PreVoteResponse {
            term: self.hard_state.term,
            asked_term,
            granted,
        };
        self.send(from, body);
        self.direct_removed_member(from);
    }

    pub(super) fn on_pre_vote_response(
        &mut self,
        from: &MemberId,
        term: Term,
        asked_term: Term,
        is_granted: bool,
    ) {
        if !is_granted && term > self.hard_state.term {
            self.become_passive(term);
            return;
        }
        let is_current = asked_term == self.hard_state.term.saturating_add(1);
        if let RoleState::PreCandidate { granted } = &mut self.role
            && is_granted
            && is_current
        {
            granted.insert(from.clone());
            self.count_votes();
        }
    }

    pub(super) fn on_request_vote(
        &mut self,
        from: &MemberId,
        term: Term,
        candidate_position: LogPosition,
        is_transfer: bool,
    ) {
        if !self.can_vote() || (self.is_bound_by_lease() && !is_transfer) {
            return;
        }
        if term > self.hard_state.term {
            self.become_passive(term);
        }
        let voted_for = self.hard_state.voted_for.as_ref();
        let is_free = voted_for.is_none_or(|member| member == from);
        let granted =
            term == self.hard_state.term && is_free && candidate_position >= self.position();
        if granted {
            self.vote_for(from.clone());
            self.reset_election_deadline();
        }
        let body = PeerMessageBody::VoteResponse {
            term: self.hard_state.term,
            granted,
        };
        self.send_when_durable(from, body);
    }

    pub(super) fn on_vote_response(&mut self, from: &MemberId, term: Term, is_granted: bool) {
        if term > self.hard_state.term {
            self.become_passive(term);
            return;
        }
        if let RoleState::Candidate { granted, .. } = &mut self.role
            && is_granted
            && term == self.hard_state.term
        {
            granted.insert(from.clone());
            self.count_votes();
        }
    }

    fn count_votes(&mut self) {
        let (RoleState::PreCandidate { granted } | RoleState::Candidate { granted, .. }) =
            &self.role
        else {
            return;
        };
        let membership = self.membership();
        let votes = granted.intersection(&membership.voters).count();
        if votes < membership.quorum() {
            return;
        }
        match self.role {
            RoleState::PreCandidate { .. } => self.start_election(false),
            _ => self.become_leader(),
        }
    }

    /// Steps down and enters `term`, whose leader is not known yet.
    pub(super) fn become_passive(&mut self, term: Term) {
        self.step_down();
        self.leader = None;
        self.set_term(term);
    }

    /// Leaves the current role. A former leader reports the outcome of its pending proposals as
    /// unknown.
    pub(super) fn step_down(&mut self) {
        let former = std::mem::replace(&mut self.role, RoleState::Passive);
        if !matches!(former, RoleState::Leader(_)) {
            return;
        }
        self.reset_election_deadline();
        let term = self.hard_state.term;
        self.effects.push(ReplicaEffect::LostLeadership { term });
        for (_, proposal_id) in std::mem::take(&mut self.proposals) {
            self.reject(proposal_id, ProposalRejection::LeadershipLost);
        }
    }

    pub(super) fn on_transfer_leadership(&mut self) {
        let Some(successor) = self.most_advanced_voter() else {
            return;
        };
        let term = self.hard_state.term;
        self.become_passive(term);
        self.send(&successor, PeerMessageBody::TimeoutNow { term });
    }

    pub(super) fn on_timeout_now(&mut self, from: &MemberId, term: Term) {
        let is_from_leader = self.leader.as_ref() == Some(from);
        if is_from_leader && term == self.hard_state.term && self.can_campaign() {
            self.start_election(true);
        }
    }
}
