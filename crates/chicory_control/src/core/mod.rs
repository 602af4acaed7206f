//! The reducer of a control process.

mod global_role;
mod group_steps;
mod operator_calls;
mod zone_role;

use std::time::Duration;

use chicory_consensus::{ConfigError, ReplicaEvent};
use chicory_ownership::{GlobalLeader, ZoneLeader};
use chicory_types::{Incarnation, MonoTime, Revision, VmId};

use crate::control_config::{PLAN_INTERVAL, ZONE_SYNC_INTERVAL};
use crate::formation_coordinator::FormationCoordinator;
use crate::zone_member::{FormationQuery, ZoneMember};
use crate::{
    CallId, Caller, ControlCall, ControlConfig, ControlEffect, ControlEvent, ControlNote,
    ControlReply, FormationAnswer, FormationRequest, GlobalGroup, GroupName, StoredZoneMember,
};

/// Time that a stopping leader waits for another member to become the leader.
const LEADERSHIP_TRANSFER_TIMEOUT: Duration = Duration::from_secs(1);

/// What waits for the outcome of a proposal to the zone's group.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ZoneWaiter {
    /// Nothing; the next plan starts from the state that the command left.
    Plan,
    /// A claim.
    Claim(CallId),
    /// A report that must not be lost: it is acknowledged once a majority has stored it.
    Acknowledge(CallId),
}

/// What waits for the outcome of a proposal to the global group.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GlobalWaiter {
    /// Nothing; the next plan starts from the state that the command left.
    Plan,
    /// An operator's edit.
    Edit(CallId),
    /// An operator's eviction of a zone.
    Evict {
        /// The call.
        call: CallId,
        /// Number of slots in the zone's custody when the eviction was proposed.
        moved_slots: u64,
    },
}

/// State of the zone's syncs with the global group.
#[derive(Debug, Default)]
struct SyncState {
    due_at: MonoTime,
    is_outstanding: bool,
    is_reachable: bool,
    /// Whether the global group has confirmed the zone's table as current since this process
    /// became the leader of its zone.
    has_synced: bool,
    /// Leader of the global group, if known.
    leader: Option<VmId>,
    /// Index of the member of the global group that is asked while the leader is unknown. It is
    /// incremented when a sync request fails or its receiver isn't the leader, so the members are
    /// asked in turn.
    target_index: usize,
}

/// The reducer of a control process.
///
/// It does no I/O and reads no clock: every input is a [`ControlEvent`], and every action that it
/// requests is a [`ControlEffect`].
pub struct ControlCore {
    config: ControlConfig,
    global: Option<GlobalGroup>,
    global_leader: Option<GlobalLeader>,
    coordinator: FormationCoordinator,
    zone_member: ZoneMember,
    zone_leader: Option<ZoneLeader>,
    sync: SyncState,
    formation_target_index: usize,
    next_plan_at: MonoTime,
    wall_ms: u64,
    revision_in_force: Revision,
    stop_deadline: Option<MonoTime>,
}

impl ControlCore {
    /// Creates the reducer.
    ///
    /// `global` is the process's replica of the global group, if it is a member of that group.
    /// `stored` is the state that it stored of its zone's group, if any.
    ///
    /// # Errors
    ///
    /// Returns [`ConfigError`] if the settings don't describe a valid member.
    pub fn new(
        config: ControlConfig,
        global: Option<GlobalGroup>,
        stored: Option<StoredZoneMember>,
        now: MonoTime,
    ) -> Result<Self, ConfigError> {
        Ok(Self {
            zone_member: ZoneMember::new(config.clone(), stored, now)?,
            config,
            global,
            global_leader: None,
            coordinator: FormationCoordinator::default(),
            zone_leader: None,
            sync: SyncState::default(),
            formation_target_index: 0,
            next_plan_at: now,
            wall_ms: 0,
            revision_in_force: 0,
            stop_deadline: None,
        })
    }

    /// Returns the latest time at which the next [`ControlEvent::Tick`] is due.
    #[must_use]
    pub fn next_wakeup(&self) -> MonoTime {
        let global = self.global.as_ref().map(|g| g.replica().next_wakeup());
        let zone = self.zone_member.group().map(|g| g.replica().next_wakeup());
        let own_wakeup = self.next_plan_at.min(self.zone_member.next_wakeup());
        [global, zone]
            .into_iter()
            .flatten()
            .fold(own_wakeup, MonoTime::min)
    }

    /// Returns the incarnation of the process's member of its zone's group.
    #[must_use]
    pub fn zone_incarnation(&self) -> Incarnation {
        self.zone_member.member().incarnation
    }

    /// Returns whether the process is a voter of a zone group that has a leader.
    ///
    /// A restarted process is therefore ready only once it is a voter again. Until then the group
    /// can't spare another voter.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.zone_member.has_leader() && self.zone_member.is_voter()
    }

    /// Returns whether the process leads the given group.
    #[must_use]
    pub fn leads(&self, group: GroupName) -> bool {
        match group {
            GroupName::Global => self.global_leader.is_some(),
            GroupName::Zone => self.zone_leader.is_some(),
        }
    }

    /// Handles one event and returns the effects that follow.
    pub fn reduce(&mut self, now: MonoTime, event: ControlEvent) -> Vec<ControlEffect> {
        let mut effects = Vec::new();
        match event {
            ControlEvent::Tick { wall_ms } => self.tick(now, wall_ms, &mut effects),
            ControlEvent::PeerReceived {
                group,
                from,
                message,
            } => self.receive(now, group, from, message, &mut effects),
            ControlEvent::Persisted { group, ticket } => {
                self.step(now, group, ReplicaEvent::Persisted { ticket }, &mut effects);
            }
            ControlEvent::PersistFailed { group, ticket } => {
                let event = ReplicaEvent::PersistFailed { ticket };
                self.step(now, group, event, &mut effects);
            }
            ControlEvent::CallReceived {
                call,
                from,
                request,
            } => self.handle_call(now, call, &from, request, &mut effects),
            ControlEvent::ZoneSyncAnswered {
                sent_at,
                from,
                answer,
            } => self.handle_sync_answer(now, sent_at, &from, &answer, &mut effects),
            ControlEvent::ZoneSyncFailed => self.handle_sync_failure(&mut effects),
            ControlEvent::FormationAnswered { group, answer } => {
                self.handle_formation_answer(now, group, &answer, &mut effects);
            }
            ControlEvent::FormationFailed => self.formation_target_index += 1,
            ControlEvent::StopRequested => self.stop(now, &mut effects),
        }
        effects
    }

    fn tick(&mut self, now: MonoTime, wall_ms: u64, effects: &mut Vec<ControlEffect>) {
        self.wall_ms = wall_ms;
        self.step_global(now, ReplicaEvent::Tick, effects);
        self.step_zone(now, ReplicaEvent::Tick, effects);
        self.send_formation_request(now, effects);
        if now >= self.next_plan_at {
            self.next_plan_at = now + PLAN_INTERVAL;
            self.plan_global(now, effects);
            self.plan_zone(now, effects);
            self.send_sync(now, effects);
        }
        self.finish_stop(now, effects);
    }

    fn handle_call(
        &mut self,
        now: MonoTime,
        call: CallId,
        from: &Caller,
        request: ControlCall,
        effects: &mut Vec<ControlEffect>,
    ) {
        if !is_allowed(from, &request) {
            effects.push(ControlEffect::Reply {
                call,
                reply: ControlReply::NotAllowed,
            });
            return;
        }
        match request {
            ControlCall::Renew(request) => self.answer_renewal(now, call, &request, effects),
            ControlCall::Claim(request) => self.answer_claim(now, call, request, effects),
            ControlCall::ResolveClaim {
                service,
                order_key,
                claimant,
                resolution,
            } => {
                let command = chicory_ownership::ZoneCommand::ResolveClaim {
                    service,
                    order_key,
                    claimant,
                    resolution,
                };
                self.propose_acknowledged(now, call, command, effects);
            }
            ControlCall::ReportCrash {
                server,
                fingerprints,
                was_alone,
            } => self.answer_crash(now, call, server, fingerprints, was_alone, effects),
            ControlCall::ZoneSync(request) => self.answer_sync(now, call, &request, effects),
            ControlCall::AskFormation(request) => {
                self.answer_formation(now, call, &request, effects);
            }
            ControlCall::Operator(request) => {
                let Caller::Operator(operator) = from else {
                    return;
                };
                self.answer_operator(now, call, operator, request, effects);
            }
        }
    }

    fn send_formation_request(&mut self, now: MonoTime, effects: &mut Vec<ControlEffect>) {
        let had_group = self.zone_member.group().is_some();
        let query = self.zone_member.next_query(now);
        if had_group && self.zone_member.group().is_none() {
            self.handle_zone_left(effects);
        }
        let FormationQuery::Ask {
            group,
            remembered_epoch,
        } = query
        else {
            return;
        };
        let Some(to) = self.formation_target(group) else {
            return;
        };
        let member = self.zone_member.member();
        let request = FormationRequest {
            zone: self.config.zone.clone(),
            vm: member.vm,
            incarnation: member.incarnation,
            zone_vms: self.config.zone_vms.clone(),
            asked_group: group,
            remembered_epoch,
        };
        effects.push(ControlEffect::AskFormation { to, request });
    }

    fn formation_target(&mut self, group: GroupName) -> Option<VmId> {
        if group == GroupName::Global
            && let Some(leader) = &self.sync.leader
        {
            return Some(leader.clone());
        }
        let vms = match group {
            GroupName::Global => &self.config.global_vms,
            GroupName::Zone => &self.config.zone_vms,
        };
        let candidates: Vec<&VmId> = vms
            .iter()
            .filter(|vm| group == GroupName::Global || **vm != self.config.vm)
            .collect();
        self.formation_target_index += 1;
        candidates
            .get(self.formation_target_index % candidates.len().max(1))
            .map(|vm| (*vm).clone())
    }

    fn handle_formation_answer(
        &mut self,
        now: MonoTime,
        group: GroupName,
        answer: &FormationAnswer,
        effects: &mut Vec<ControlEffect>,
    ) {
        if let FormationAnswer::NotLeader { leader } = answer {
            self.sync.leader.clone_from(leader);
            self.formation_target_index += 1;
            return;
        }
        let had_group = self.zone_member.group().is_some();
        let entered = match group {
            GroupName::Global => self.zone_member.handle_global_answer(now, answer),
            GroupName::Zone => self.zone_member.handle_zone_answer(now, answer),
        };
        let Ok(entered) = entered else {
            effects.push(ControlEffect::Abort);
            return;
        };
        match (had_group, self.zone_member.group().is_some()) {
            (true, false) => self.handle_zone_left(effects),
            (false, true) if entered => self.handle_zone_entered(answer, effects),
            _ => {}
        }
    }

    fn handle_zone_entered(&mut self, answer: &FormationAnswer, effects: &mut Vec<ControlEffect>) {
        let Some(group) = self.zone_member.group() else {
            return;
        };
        let group_epoch = group.replica().group_epoch();
        if self.config.is_zone_durable {
            effects.push(ControlEffect::OpenZoneStore {
                group_epoch,
                member: group.replica().member().clone(),
            });
        }
        effects.push(ControlEffect::Note(ControlNote::EnteredZoneGroup {
            group_epoch,
            is_founder: matches!(answer, FormationAnswer::Found { .. }),
        }));
    }

    fn handle_zone_left(&mut self, effects: &mut Vec<ControlEffect>) {
        self.zone_leader = None;
        self.revision_in_force = 0;
        effects.push(ControlEffect::Note(ControlNote::LeftZoneGroup));
    }

    fn stop(&mut self, now: MonoTime, effects: &mut Vec<ControlEffect>) {
        self.stop_deadline = Some(now + LEADERSHIP_TRANSFER_TIMEOUT);
        self.step_global(now, ReplicaEvent::TransferLeadership, effects);
        self.step_zone(now, ReplicaEvent::TransferLeadership, effects);
        self.finish_stop(now, effects);
    }

    fn finish_stop(&mut self, now: MonoTime, effects: &mut Vec<ControlEffect>) {
        let Some(stop_deadline) = self.stop_deadline else {
            return;
        };
        let leads = self.global_leader.is_some() || self.zone_leader.is_some();
        if !leads || now >= stop_deadline {
            effects.push(ControlEffect::Stopped);
        }
    }

    fn sync_target(&mut self) -> Option<VmId> {
        if let Some(leader) = &self.sync.leader {
            return Some(leader.clone());
        }
        let vms: Vec<&VmId> = self.config.global_vms.iter().collect();
        vms.get(self.sync.target_index % vms.len().max(1))
            .map(|vm| (*vm).clone())
    }

    fn send_sync(&mut self, now: MonoTime, effects: &mut Vec<ControlEffect>) {
        let is_due = now >= self.sync.due_at && !self.sync.is_outstanding;
        if !is_due || !self.has_zone_authority(now) {
            return;
        }
        let Some(to) = self.sync_target() else {
            return;
        };
        let (Some(leader), Some(group)) = (&self.zone_leader, self.zone_member.group()) else {
            return;
        };
        let request = leader.sync_request(group.machine().state(), self.config.vm.clone());
        self.sync.is_outstanding = true;
        self.sync.due_at = now + ZONE_SYNC_INTERVAL;
        effects.push(ControlEffect::SyncZone { to, request });
    }

    fn has_zone_authority(&self, now: MonoTime) -> bool {
        let group = self.zone_member.group();
        group.is_some_and(|group| group.has_authority(now))
    }
}

/// Returns whether the caller may make the call.
///
/// Each kind of caller has calls of its own. If the call names its sender, that has to be the
/// caller.
fn is_allowed(from: &Caller, request: &ControlCall) -> bool {
    match (from, request) {
        (Caller::Entry(vm), ControlCall::Renew(request)) => request.entry.vm == *vm,
        (Caller::Entry(vm), ControlCall::Claim(request)) => request.claimant.vm == *vm,
        (Caller::Entry(vm), ControlCall::ResolveClaim { claimant, .. }) => claimant.vm == *vm,
        (Caller::Entry(_), ControlCall::ReportCrash { .. })
        | (Caller::Operator(_), ControlCall::Operator(_)) => true,
        (Caller::Control(vm), ControlCall::ZoneSync(request)) => request.leader == *vm,
        (Caller::Control(vm), ControlCall::AskFormation(request)) => request.vm == *vm,
        _ => false,
    }
}
