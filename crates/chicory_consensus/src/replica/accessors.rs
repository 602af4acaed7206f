//! Read access to the state of a replica.

use std::sync::LazyLock;

use chicory_types::{ClockRateMargin, LogIndex, MonoTime, Term};

use super::{Phase, Replica, RoleState};
use crate::{GroupStatus, MemberId, Membership, Role};

static NO_MEMBERS: LazyLock<Membership> = LazyLock::new(Membership::default);

impl Replica {
    /// Returns the member that this replica runs as.
    #[must_use]
    pub fn member(&self) -> &MemberId {
        &self.config.member
    }

    /// Returns the epoch of the group.
    #[must_use]
    pub fn group_epoch(&self) -> u64 {
        self.config.group_epoch
    }

    /// Returns the current role.
    #[must_use]
    pub fn role(&self) -> Role {
        match self.role {
            RoleState::Leader(_) => Role::Leader,
            RoleState::Candidate { .. } => Role::Candidate,
            RoleState::PreCandidate { .. } => Role::PreCandidate,
            RoleState::Passive if self.is_voter() => Role::Follower,
            RoleState::Passive => Role::Learner,
        }
    }

    /// Returns whether this replica leads its group.
    ///
    /// A former leader that is cut off from the group may return `true` as well. Check
    /// [`has_leader_lease`](Self::has_leader_lease) before acting without the group.
    #[must_use]
    pub fn is_leader(&self) -> bool {
        matches!(self.role, RoleState::Leader(_))
    }

    /// Returns the leader, as far as this replica knows.
    #[must_use]
    pub fn leader(&self) -> Option<&MemberId> {
        self.leader.as_ref()
    }

    /// Returns the current term.
    #[must_use]
    pub fn term(&self) -> Term {
        self.hard_state.term
    }

    /// Returns whether no other member can lead at `now` and all committed entries are applied
    /// here.
    ///
    /// Reads and grants that rely on leadership need the lease. Read `now` from the clock directly
    /// before such an action, so that a process that was paused finds its lease expired.
    #[must_use]
    pub fn has_leader_lease(&self, now: MonoTime) -> bool {
        let RoleState::Leader(leader_state) = &self.role else {
            return false;
        };
        if self.is_stopped() || self.applied_index < leader_state.first_index {
            return false;
        }
        let lease_start = leader_state.quorum_contact_at;
        self.is_sole_voter()
            || lease_start.is_some_and(|at| {
                now < ClockRateMargin::lease_expiry_for_holder(at, self.config.leader_lease)
            })
    }

    /// Returns the index up to which entries are known to be committed.
    #[must_use]
    pub fn commit_index(&self) -> LogIndex {
        self.commit_index
    }

    /// Returns the index up to which entries were returned to be applied.
    #[must_use]
    pub fn applied_index(&self) -> LogIndex {
        self.applied_index
    }

    /// Returns whether every entry is applied that a leader has advertised as committed.
    ///
    /// A member that rejoins knows its leader before it has the entries that it missed.
    #[must_use]
    pub fn has_caught_up(&self) -> bool {
        self.applied_index >= self.advertised_commit_index
    }

    /// Returns the index of the last entry, committed or not.
    #[must_use]
    pub fn last_index(&self) -> LogIndex {
        self.log.last_index()
    }

    /// Returns the index of the last entry in the latest snapshot.
    #[must_use]
    pub fn snapshot_index(&self) -> LogIndex {
        self.log.snapshot().last_index
    }

    /// Returns the membership in effect; empty before the group was formed.
    #[must_use]
    pub fn membership(&self) -> &Membership {
        self.log.membership().unwrap_or(&NO_MEMBERS)
    }

    /// Returns whether the replica belongs to a formed group, or why it does not.
    #[must_use]
    pub fn group_status(&self) -> GroupStatus {
        match self.phase {
            Phase::Joining => GroupStatus::AwaitingAdmission,
            Phase::Forming { .. } | Phase::Bound { .. } => GroupStatus::Forming,
            Phase::Formed => GroupStatus::Formed,
            Phase::Halted => GroupStatus::Halted,
            Phase::Superseded => GroupStatus::Superseded,
        }
    }

    /// Returns the time at which the next [`Tick`](crate::ReplicaEvent::Tick) is due.
    #[must_use]
    pub fn next_wakeup(&self) -> MonoTime {
        if self.is_stopped() {
            return MonoTime::MAX;
        }
        let role_deadline = match &self.role {
            RoleState::Leader(leader_state) => self.leader_wakeup(leader_state),
            _ => self.election_deadline,
        };
        role_deadline.min(self.hello_deadline)
    }

    pub(super) fn is_sole_voter(&self) -> bool {
        self.is_voter() && self.membership().voters.len() == 1
    }
}
