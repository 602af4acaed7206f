//! A process's part in the group of its zone.

use std::collections::BTreeSet;
use std::time::Duration;

use chicory_consensus::{ConfigError, Formation, MemberId, Replica, ReplicaConfig, RestoredState};
use chicory_types::{Incarnation, MonoTime, VmId, fingerprint_of};

use crate::control_config::FORMATION_REQUEST_INTERVAL;
use crate::inquiry_phase::InquiryPhase;
use crate::{
    ControlConfig, FormationAnswer, Group, GroupName, StoredZoneMember, ZoneMachine, ZoneWaiter,
};

/// How long a member may be without a leader before it asks whether its group still exists.
const LEADERLESS_LIMIT: Duration = Duration::from_secs(3);

/// The group of the zone, as a member sees it.
pub type ZoneGroup = Group<ZoneMachine, ZoneWaiter>;

/// Whom to ask what to do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FormationQuery {
    /// Nobody at the moment.
    None,
    /// Another member of this group.
    Ask {
        /// The group.
        group: GroupName,
        /// Epoch of the group that the process remembers.
        remembered_epoch: Option<u64>,
    },
}

/// A process's part in the group of its zone.
///
/// A process without memory first asks the other members of its zone, since these know whether the
/// group lives, also when the global group can't be reached. Then it asks the global group, and
/// from there on keeps away from the zone's group until it is told to join.
pub struct ZoneMember {
    config: ControlConfig,
    /// Start of the process's memory; each new part in a group is a new member.
    incarnation: Incarnation,
    /// Least start of the memory of the next part in a group.
    next_incarnation: Incarnation,
    group: Option<ZoneGroup>,
    phase: InquiryPhase,
    last_leader_at: MonoTime,
    next_query_at: MonoTime,
}

impl ZoneMember {
    /// Creates the seat of a process that was just started; with stored state it goes on as the
    /// member that it was.
    ///
    /// # Errors
    ///
    /// [`ConfigError`] where the settings make no valid member.
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
            // A later part in a group is greater than any earlier one.
            zone_member.next_incarnation = started_incarnation;
        }
        Ok(zone_member)
    }

    /// The group that the process takes part in.
    #[must_use]
    pub fn group(&self) -> Option<&ZoneGroup> {
        self.group.as_ref()
    }

    /// The group that the process takes part in.
    pub fn group_mut(&mut self) -> Option<&mut ZoneGroup> {
        self.group.as_mut()
    }

    /// The member that the process is or will be.
    #[must_use]
    pub fn member(&self) -> MemberId {
        MemberId::new(self.config.vm.clone(), self.incarnation)
    }

    /// When [`question`](Self::question) may have something to ask.
    #[must_use]
    pub fn next_wakeup(&self) -> MonoTime {
        self.next_query_at
    }

    /// Whom to ask now.
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
            // Nobody counts on the memory of a learner; as a process without memory it may help
            // to form the group anew.
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

    /// Whether the process knows a leader of the group.
    #[must_use]
    pub fn has_leader(&self) -> bool {
        let group = self.group.as_ref();
        group.is_some_and(|group| group.replica().leader().is_some())
    }

    /// Whether the process is a voter of the group, as far as it knows.
    #[must_use]
    pub fn is_voter(&self) -> bool {
        let member = self.member();
        let group = self.group.as_ref();
        group.is_some_and(|group| {
            let replica = group.replica();
            replica.membership().is_voter(&member) && replica.last_index() > 0
        })
    }

    /// Takes in the answer of another member of the zone; `true` if the process entered its group.
    ///
    /// # Errors
    ///
    /// [`ConfigError`] where the settings make no valid member.
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

    /// Takes in the answer of the global group; `true` if the process left or entered a group.
    ///
    /// # Errors
    ///
    /// [`ConfigError`] where the settings make no valid member.
    pub fn handle_global_answer(
        &mut self,
        now: MonoTime,
        answer: &FormationAnswer,
    ) -> Result<bool, ConfigError> {
        if let Some(group) = &self.group {
            let known_epoch = group.replica().group_epoch();
            let is_replaced = matches!(answer, FormationAnswer::Join { group_epoch } if *group_epoch > known_epoch);
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

    /// Differs between the members, so that they don't stand for election together.
    fn seed(&self) -> u64 {
        fingerprint_of(&[
            self.config.vm.as_bytes(),
            &self.config.seed.to_le_bytes(),
            &self.incarnation.to_le_bytes(),
        ])
    }

    /// Leaves the group and forgets all of it; the process comes back as another member.
    fn leave_group(&mut self, now: MonoTime) {
        self.group = None;
        self.incarnation = self.next_incarnation.max(self.incarnation + 1);
        self.phase = InquiryPhase::Zone { since: now };
        self.next_query_at = now;
    }
}
