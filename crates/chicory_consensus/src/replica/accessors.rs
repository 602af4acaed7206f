//! What callers may read of a replica.

use std::sync::LazyLock;

use chicory_types::{ClockRateMargin, LogIndex, MonoTime, Term};

use super::{Phase, Replica, RoleState};
use crate::{GroupStatus, MemberId, Membership, Role};

static NO_MEMBERS: LazyLock<Membership> = LazyLock::new(Membership::default);

impl Replica {
    /// The member that this replica runs as.
    #[must_use]
    pub fn member(&self) -> &MemberId {
        &self.config.member
    }

    /// Epoch of the group.
    #[must_use]
    pub fn group_epoch(&self) -> u64 {
        self.config.group_epoch
    }

    /// The role now.
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

    /// Whether this replica leads its group. A former leader that was cut off may say so too:
    /// before acting alone ask [`has_leader_lease`](Self::has_leader_lease).
    #[must_use]
    pub fn is_leader(&self) -> bool {
        matches!(self.role, RoleState::Leader(_))
    }

    /// The leader as far as this replica knows.
    #[must_use]
    pub fn leader(&self) -> Option<&MemberId> {
        self.leader.as_ref()
    }

    /// The current term.
    #[must_use]
    pub fn term(&self) -> Term {
        self.hard_state.term
    }

    /// Whether no other member can lead at `now`, and all that was ever committed is applied here.
    ///
    /// Reads and grants that rest on leadership need it. `now` is read from the clock directly
    /// before the use, so that a paused process finds its lease ended.
    #[must_use]
    pub fn has_leader_lease(&self, now: MonoTime) -> bool {
        let RoleState::Leader(leading) = &self.role else {
            return false;
        };
        if self.is_stopped() || self.applied_index < leading.first_index {
            return false;
        }
        let start = leading.quorum_contact;
        self.is_sole_voter()
            || start
                .is_some_and(|at| now < ClockRateMargin::holder_end(at, self.config.leader_lease))
    }

    /// Index up to which entries are known to be committed.
    #[must_use]
    pub fn commit_index(&self) -> LogIndex {
        self.commit_index
    }

    /// Index up to which entries were handed out to be applied.
    #[must_use]
    pub fn applied_index(&self) -> LogIndex {
        self.applied_index
    }

    /// Whether everything is applied that a leader told to be committed. A member that comes back
    /// knows its leader before it has the entries that it missed.
    #[must_use]
    pub fn has_caught_up(&self) -> bool {
        self.applied_index >= self.told_commit_index
    }

    /// Index of the last entry, committed or not.
    #[must_use]
    pub fn last_index(&self) -> LogIndex {
        self.log.last_index()
    }

    /// Index of the last entry in the latest snapshot.
    #[must_use]
    pub fn snapshot_index(&self) -> LogIndex {
        self.log.snapshot().last_index
    }

    /// The membership in force; empty before the group was formed.
    #[must_use]
    pub fn membership(&self) -> &Membership {
        self.log.membership().unwrap_or(&NO_MEMBERS)
    }

    /// Whether the replica belongs to a formed group.
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

    /// When the next [`Tick`](crate::ReplicaEvent::Tick) is due.
    #[must_use]
    pub fn next_wakeup(&self) -> MonoTime {
        if self.is_stopped() {
            return MonoTime::MAX;
        }
        let role_deadline = match &self.role {
            RoleState::Leader(leading) => self.leader_wakeup(leading),
            _ => self.election_deadline,
        };
        role_deadline.min(self.hello_deadline)
    }

    pub(super) fn is_sole_voter(&self) -> bool {
        self.is_voter() && self.membership().voters.len() == 1
    }
}
