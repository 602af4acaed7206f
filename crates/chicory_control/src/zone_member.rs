//! The member of its zone's group that a process runs.

use std::collections::BTreeSet;
use std::time::Duration;

use chicory_consensus::{ConfigError, Formation, MemberId, Replica, ReplicaConfig, RestoredState};
use chicory_types::{Incarnation, MonoTime, VmId, fingerprint_of};

use crate::control_config::FORMATION_REQUEST_INTERVAL;
use crate::inquiry_phase::InquiryPhase;
use crate::{
    ControlConfig, FormationAnswer, Group, GroupName, StoredZoneMember, ZoneMachine, ZoneWaiter,
};

/// Time without a leader after which a voter asks whether its group still exists, and a learner
/// leaves the group.
const LEADERLESS_LIMIT: Duration = Duration::from_secs(3);

/// A process's replica of its zone's group.
pub type ZoneGroup = Group<ZoneMachine, ZoneWaiter>;

/// The formation request that is due, if any.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FormationQuery {
    /// No request is due.
    None,
    /// Send a request to a member of this group.
    Ask {
        /// The group.
        group: GroupName,
        /// Epoch of the zone's group that the process has state of; `None` without state.
        remembered_epoch: Option<u64>,
    },
}

/// The member of its zone's group that a process runs, or is going to run.
///
/// A process without state first asks the other members of its zone, because they know whether the
/// group exists even when the global group is unreachable. Then it asks the global group, and from
/// then on takes part in no group of the zone until an answer allows it.
pub struct ZoneMember {
    config: ControlConfig,
    /// Incarnation of the member. A process that leaves a group returns as a new member.
    incarnation: Incarnation,
    /// Least incarnation of the next member that this process runs.
    next_incarnation: Incarnation,
    group: Option<ZoneGroup>,
    phase: InquiryPhase,
    last_leader_at: MonoTime,
    next_query_at: MonoTime,
}

impl ZoneMember {
    /// Creates the member of a process that was just started. With stored state, the process
    /// continues as the member that it was before.
    ///
    /// # Errors
    ///
    /// Returns [`ConfigError`] if the settings don't describe a valid member.
    pub fn new(
        config: ControlConfig,
        stored: Option<StoredZoneMember>,
        now: MonoTime,
    ) -> Result<Self, ConfigError> {
        let mut zone_member = Self {
            incarnation: config.incarnation,
            next_incarnation: config.incarnation,
            config,
            group: None,
            phase: InquiryPhase::Zone { since: now },
            last_leader_at: now,
            next_query_at: now,
        };
        if let Some(stored) = stored {
            let started_incarnation = zone_member.incarnation;
            zone_member.incarnation = stored.incarnation;
            zone_member.enter_group(now, stored.group_epoch, Formation::Join, stored.state)?;
            // The next member needs a greater incarnation than every earlier one.
            zone_member.next_incarnation = started_incarnation;
        }
        Ok(zone_member)
    }

    /// Returns the group that the process takes part in, if any.
    #[must_use]
    pub fn group(&self) -> Option<&ZoneGroup> {
        self.group.as_ref()
    }

    /// Returns the group that the process takes part in, mutably, if any.
    pub fn group_mut(&mut self) -> Option<&mut ZoneGroup> {
        self.group.as_mut()
    }

    /// Returns the member that the process is, or will be once it enters a group.
    #[must_use]
    pub fn member(&self) -> MemberId {
        MemberId::new(self.config.vm.clone(), self.incarnation)
    }

    /// Returns when [`next_query`](Self::next_query) is to be called again.
    #[must_use]
    pub fn next_wakeup(&self) -> MonoTime {
        self.next_query_at
    }

    /// Returns the formation request that is due at `now`, if any.
    pub fn next_query(&mut self, now: MonoTime) -> FormationQuery {
        if now < self.next_query_at {
            return FormationQuery::None;
        }
        self.next_query_at = now + FORMATION_REQUEST_INTERVAL;
        match &self.group {
            Some(group) => self.query_of_member(now, group.replica().group_epoch()),
            None => self.query_without_state(now),
        }
    }

    fn query_of_member(&mut self, now: MonoTime, group_epoch: u64) -> FormationQuery {
        if self.has_leader() {
            self.last_leader_at = now;
        }
        if now < self.last_leader_at + LEADERLESS_LIMIT {
            return FormationQuery::None;
        }
        if !self.is_voter() {
            // No decision of the group depends on the state of a learner, so it may be discarded.
            // As a process without state, this one can become a founder of a new group.
            self.leave_group(now);
            return FormationQuery::None;
        }
        FormationQuery::Ask {
            group: GroupName::Global,
            remembered_epoch: Some(group_epoch),
        }
    }

    fn query_without_state(&mut self, now: MonoTime) -> FormationQuery {
        self.phase = self.phase.advance(now);
        let group = match &mut self.phase {
            InquiryPhase::Zone { .. } => GroupName::Zone,
            InquiryPhase::Global {
                last_request_at, ..
            } => {
                *last_request_at = now;
                GroupName::Global
            }
            InquiryPhase::Cooldown { .. } => return FormationQuery::None,
        };
        FormationQuery::Ask {
            group,
            remembered_epoch: None,
        }
    }

    /// Returns whether the process knows a leader of the group.
    #[must_use]
    pub fn has_leader(&self) -> bool {
        let group = self.group.as_ref();
        group.is_some_and(|group| group.replica().leader().is_some())
    }

    /// Returns whether the process is a voter of the group according to its own log.
    #[must_use]
    pub fn is_voter(&self) -> bool {
        let member = self.member();
        let group = self.group.as_ref();
        group.is_some_and(|group| {
            let replica = group.replica();
            replica.membership().is_voter(&member) && replica.last_index() > 0
        })
    }

    /// Handles the answer of another member of the zone. Returns `true` if the process entered that
    /// member's group.
    ///
    /// # Errors
    ///
    /// Returns [`ConfigError`] if the settings don't describe a valid member.
    pub fn handle_zone_answer(
        &mut self,
        now: MonoTime,
        answer: &FormationAnswer,
    ) -> Result<bool, ConfigError> {
        let may_join = matches!(self.phase, InquiryPhase::Zone { .. }) && self.group.is_none();
        match answer {
            FormationAnswer::Join { group_epoch } if may_join => self.join(now, *group_epoch),
            _ => Ok(false),
        }
    }

    /// Handles the answer of the global group. Returns `true` if the process entered a group, or if
    /// the answer names a later group than the one that it takes part in.
    ///
    /// # Errors
    ///
    /// Returns [`ConfigError`] if the settings don't describe a valid member.
    pub fn handle_global_answer(
        &mut self,
        now: MonoTime,
        answer: &FormationAnswer,
    ) -> Result<bool, ConfigError> {
        if let Some(group) = &self.group {
            let known_epoch = group.replica().group_epoch();
            let is_replaced = matches!(
                answer,
                FormationAnswer::Join { group_epoch } if *group_epoch > known_epoch
            );
            if is_replaced && !self.has_leader() {
                self.leave_group(now);
            }
            return Ok(is_replaced);
        }
        match answer {
            FormationAnswer::Join { group_epoch } => self.join(now, *group_epoch),
            FormationAnswer::Found {
                group_epoch,
                founders,
            } => {
                let formation = self.formation_with(founders);
                self.enter_group(now, *group_epoch, formation, RestoredState::fresh())
            }
            FormationAnswer::Wait => {
                self.phase.record_contact(now);
                Ok(false)
            }
            FormationAnswer::NotLeader { .. } => Ok(false),
        }
    }

    fn formation_with(&self, founders: &BTreeSet<MemberId>) -> Formation {
        if founders.contains(&self.member()) {
            Formation::Founders(founders.clone())
        } else {
            Formation::Join
        }
    }

    fn join(&mut self, now: MonoTime, group_epoch: u64) -> Result<bool, ConfigError> {
        self.enter_group(now, group_epoch, Formation::Join, RestoredState::fresh())
    }

    fn enter_group(
        &mut self,
        now: MonoTime,
        group_epoch: u64,
        formation: Formation,
        state: RestoredState,
    ) -> Result<bool, ConfigError> {
        let zone_vms: Vec<VmId> = self.config.zone_vms.iter().cloned().collect();
        let replica_config = ReplicaConfig::builder(self.member(), zone_vms)
            .group_epoch(group_epoch)
            .formation(formation)
            .seed(self.seed())
            .build()?;
        let replica = Replica::new(replica_config, state, now);
        let machine = ZoneMachine::new(self.config.zone.clone(), group_epoch);
        self.group = Some(Group::new(replica, machine, self.config.is_zone_durable));
        self.last_leader_at = now;
        Ok(true)
    }

    /// Returns a seed that differs between members, so that they don't start elections at the same
    /// time.
    fn seed(&self) -> u64 {
        fingerprint_of(&[
            self.config.vm.as_bytes(),
            &self.config.seed.to_le_bytes(),
            &self.incarnation.to_le_bytes(),
        ])
    }

    /// Leaves the group and discards its state. The process returns as another member.
    fn leave_group(&mut self, now: MonoTime) {
        self.group = None;
        self.incarnation = self.next_incarnation.max(self.incarnation + 1);
        self.phase = InquiryPhase::Zone { since: now };
        self.next_query_at = now;
    }
}
