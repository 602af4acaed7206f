//! The reducer of a control process.

mod global_side;
mod operator_side;
mod stepping;
mod zone_side;

use std::time::Duration;

use chicory_consensus::{ConfigError, ReplicaEvent};
use chicory_ownership::{GlobalLeader, ZoneLeader};
use chicory_types::{Incarnation, MonoTime, Revision, VmId};

use crate::control_config::{PLAN_INTERVAL, ZONE_SYNC_INTERVAL};
use crate::formation_desk::FormationDesk;
use crate::zone_seat::{FormationQuestion, ZoneSeat};
use crate::{
    CallId, Caller, ControlCall, ControlConfig, ControlEffect, ControlEvent, ControlNote,
    ControlReply, FormationAnswer, FormationRequest, GlobalGroup, GroupName, StoredSeat,
};

/// How long a leader that stops waits for another one to take over.
const STOP_PATIENCE: Duration = Duration::from_secs(1);

/// Who waits for a proposal to the zone's group.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ZoneWaiter {
    /// Nobody; the plan will see its effect.
    Plan,
    /// A claim.
    Claim(CallId),
    /// Whoever told of something that must not be lost.
    Acknowledge(CallId),
}

/// Who waits for a proposal to the global group.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GlobalWaiter {
    /// Nobody; the plan will see its effect.
    Plan,
    /// An operator's edit.
    Edit(CallId),
    /// An operator's eviction of a zone.
    Evict {
        /// The call.
        call: CallId,
        /// Slots in the zone's custody when it was asked for.
        moved_slots: u64,
    },
}

/// The zone's exchange with the global group.
#[derive(Debug, Default)]
struct SyncState {
    due_at: MonoTime,
    is_outstanding: bool,
    is_reachable: bool,
    /// Whether this process heard of the global group since it leads its zone.
    has_synced: bool,
    /// Members of the global group are asked in turn until the leader is known.
    leader: Option<VmId>,
    turn: usize,
}

/// The reducer of a control process.
///
/// It does no I/O and reads no clock: all that happens comes in as a [`ControlEvent`], and all that
/// is to be done goes out as a [`ControlEffect`].
pub struct ControlCore {
    config: ControlConfig,
    global: Option<GlobalGroup>,
    global_leader: Option<GlobalLeader>,
    formations: FormationDesk,
    seat: ZoneSeat,
    zone_leader: Option<ZoneLeader>,
    sync: SyncState,
    formation_turn: usize,
    plan_at: MonoTime,
    wall_ms: u64,
    revision_in_force: Revision,
    stop_by: Option<MonoTime>,
}

impl ControlCore {
    /// Creates the reducer; `global` is the process's part in the global group, if it has one, and
    /// `stored` what it stored of its part in its zone's group.
    ///
    /// # Errors
    ///
    /// [`ConfigError`] where the settings make no valid member.
    pub fn new(
        config: ControlConfig,
        global: Option<GlobalGroup>,
        stored: Option<StoredSeat>,
        now: MonoTime,
    ) -> Result<Self, ConfigError> {
        Ok(Self {
            seat: ZoneSeat::new(config.clone(), stored, now)?,
            config,
            global,
            global_leader: None,
            formations: FormationDesk::default(),
            zone_leader: None,
            sync: SyncState::default(),
            formation_turn: 0,
            plan_at: now,
            wall_ms: 0,
            revision_in_force: 0,
            stop_by: None,
        })
    }

    /// When the next [`ControlEvent::Tick`] is due at the latest.
    #[must_use]
    pub fn next_wakeup(&self) -> MonoTime {
        let global = self.global.as_ref().map(|g| g.replica().next_wakeup());
        let zone = self.seat.group().map(|g| g.replica().next_wakeup());
        let own = self.plan_at.min(self.seat.next_wakeup());
        [global, zone]
            .into_iter()
            .flatten()
            .fold(own, MonoTime::min)
    }

    /// The member that the process is in its zone's group.
    #[must_use]
    pub fn zone_incarnation(&self) -> Incarnation {
        self.seat.member().incarnation
    }

    /// Whether the process is a voter of a zone group that has a leader.
    ///
    /// So a process that was restarted is ready once its repair is done, and not before: until then
    /// the group can't spare another voter.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.seat.has_leader() && self.seat.is_voter()
    }

    /// Whether the process leads its zone's group, or the global group.
    #[must_use]
    pub fn leads(&self, group: GroupName) -> bool {
        match group {
            GroupName::Global => self.global_leader.is_some(),
            GroupName::Zone => self.zone_leader.is_some(),
        }
    }

    /// Takes in one event.
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
            } => self.answer(now, call, &from, request, &mut effects),
            ControlEvent::ZoneSyncAnswered {
                sent_at,
                from,
                answer,
            } => self.take_sync(now, sent_at, &from, &answer, &mut effects),
            ControlEvent::ZoneSyncFailed => self.miss_sync(&mut effects),
            ControlEvent::FormationAnswered { group, answer } => {
                self.take_formation(now, group, &answer, &mut effects);
            }
            ControlEvent::FormationFailed => self.formation_turn += 1,
            ControlEvent::StopRequested => self.stop(now, &mut effects),
        }
        effects
    }

    fn tick(&mut self, now: MonoTime, wall_ms: u64, effects: &mut Vec<ControlEffect>) {
        self.wall_ms = wall_ms;
        self.step_global(now, ReplicaEvent::Tick, effects);
        self.step_zone(now, ReplicaEvent::Tick, effects);
        self.ask_formation(now, effects);
        if now >= self.plan_at {
            self.plan_at = now + PLAN_INTERVAL;
            self.plan_global(now, effects);
            self.plan_zone(now, effects);
            self.send_sync(now, effects);
        }
        self.finish_stop(now, effects);
    }

    fn answer(
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
                self.take_told(now, call, command, effects);
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

    fn ask_formation(&mut self, now: MonoTime, effects: &mut Vec<ControlEffect>) {
        let was_seated = self.seat.group().is_some();
        let question = self.seat.question(now);
        if was_seated && self.seat.group().is_none() {
            self.leave_zone(effects);
        }
        let FormationQuestion::Ask {
            group,
            remembered_epoch,
        } = question
        else {
            return;
        };
        let Some(to) = self.formation_target(group) else {
            return;
        };
        let member = self.seat.member();
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
        let others: Vec<&VmId> = vms
            .iter()
            .filter(|vm| group == GroupName::Global || **vm != self.config.vm)
            .collect();
        self.formation_turn += 1;
        others
            .get(self.formation_turn % others.len().max(1))
            .map(|vm| (*vm).clone())
    }

    fn take_formation(
        &mut self,
        now: MonoTime,
        group: GroupName,
        answer: &FormationAnswer,
        effects: &mut Vec<ControlEffect>,
    ) {
        if let FormationAnswer::NotLeader { leader } = answer {
            self.sync.leader.clone_from(leader);
            self.formation_turn += 1;
            return;
        }
        let was_seated = self.seat.group().is_some();
        let entered = match group {
            GroupName::Global => self.seat.on_global_answer(now, answer),
            GroupName::Zone => self.seat.on_zone_answer(now, answer),
        };
        let Ok(entered) = entered else {
            effects.push(ControlEffect::Abort);
            return;
        };
        match (was_seated, self.seat.group().is_some()) {
            (true, false) => self.leave_zone(effects),
            (false, true) if entered => self.note_entry(answer, effects),
            _ => {}
        }
    }

    fn note_entry(&mut self, answer: &FormationAnswer, effects: &mut Vec<ControlEffect>) {
        let Some(group) = self.seat.group() else {
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

    fn leave_zone(&mut self, effects: &mut Vec<ControlEffect>) {
        self.zone_leader = None;
        self.revision_in_force = 0;
        effects.push(ControlEffect::Note(ControlNote::LeftZoneGroup));
    }

    fn stop(&mut self, now: MonoTime, effects: &mut Vec<ControlEffect>) {
        self.stop_by = Some(now + STOP_PATIENCE);
        self.step_global(now, ReplicaEvent::TransferLeadership, effects);
        self.step_zone(now, ReplicaEvent::TransferLeadership, effects);
        self.finish_stop(now, effects);
    }

    fn finish_stop(&mut self, now: MonoTime, effects: &mut Vec<ControlEffect>) {
        let Some(stop_by) = self.stop_by else {
            return;
        };
        let leads = self.global_leader.is_some() || self.zone_leader.is_some();
        if !leads || now >= stop_by {
            effects.push(ControlEffect::Stopped);
        }
    }

    fn sync_target(&mut self) -> Option<VmId> {
        if let Some(leader) = &self.sync.leader {
            return Some(leader.clone());
        }
        let vms: Vec<&VmId> = self.config.global_vms.iter().collect();
        vms.get(self.sync.turn % vms.len().max(1))
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
        let (Some(leader), Some(group)) = (&self.zone_leader, self.seat.group()) else {
            return;
        };
        let request = leader.sync_request(group.machine().state(), self.config.vm.clone());
        self.sync.is_outstanding = true;
        self.sync.due_at = now + ZONE_SYNC_INTERVAL;
        effects.push(ControlEffect::SyncZone { to, request });
    }

    fn has_zone_authority(&self, now: MonoTime) -> bool {
        let group = self.seat.group();
        group.is_some_and(|group| group.has_authority(now))
    }
}

/// Whether a caller of this kind may make the call, and only for itself.
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
