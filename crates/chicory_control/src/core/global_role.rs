//! What a control process does as a member of the global group.

use chicory_ownership::{ZoneSyncAnswer, ZoneSyncRequest};
use chicory_types::{MonoTime, VmId};

use super::{ControlCore, GlobalWaiter};
use crate::formation_coordinator::FormationDecision;
use crate::{
    CallId, ControlEffect, ControlReply, FormationAnswer, FormationRequest, GlobalEntry, GroupName,
};

impl ControlCore {
    /// Returns the leader of the global group, if it is known and is another process.
    pub(super) fn global_leader_vm(&self) -> Option<VmId> {
        let Some(group) = &self.global else {
            return self.sync.leader.clone();
        };
        let leader = group.replica().leader()?;
        (leader.vm != self.config.vm).then(|| leader.vm.clone())
    }

    pub(super) fn has_global_authority(&self, now: MonoTime) -> bool {
        let group = self.global.as_ref();
        group.is_some_and(|group| group.has_authority(now))
    }

    pub(super) fn plan_global(&mut self, now: MonoTime, effects: &mut Vec<ControlEffect>) {
        if !self.has_global_authority(now) {
            return;
        }
        let (Some(leader), Some(group)) = (&mut self.global_leader, &self.global) else {
            return;
        };
        for command in leader.plan(now, self.wall_ms, group.machine().state()) {
            let command = GlobalEntry::Ownership(command);
            self.propose_global(now, command, GlobalWaiter::Plan, effects);
        }
    }

    pub(super) fn answer_sync(
        &mut self,
        now: MonoTime,
        call: CallId,
        request: &ZoneSyncRequest,
        effects: &mut Vec<ControlEffect>,
    ) {
        let has_authority = self.has_global_authority(now);
        let answer = match (&mut self.global_leader, &self.global) {
            (Some(leader), Some(group)) if has_authority => {
                leader.on_zone_sync(now, group.machine().state(), request)
            }
            _ => ZoneSyncAnswer::NotLeader {
                leader: self.global_leader_vm(),
            },
        };
        effects.push(ControlEffect::Reply {
            call,
            reply: ControlReply::ZoneSync(answer),
        });
    }

    pub(super) fn answer_formation(
        &mut self,
        now: MonoTime,
        call: CallId,
        request: &FormationRequest,
        effects: &mut Vec<ControlEffect>,
    ) {
        let answer = self.formation_answer(now, request, effects);
        effects.push(ControlEffect::Reply {
            call,
            reply: ControlReply::Formation(answer),
        });
    }

    fn formation_answer(
        &mut self,
        now: MonoTime,
        request: &FormationRequest,
        effects: &mut Vec<ControlEffect>,
    ) -> FormationAnswer {
        match request.asked_group {
            GroupName::Zone => self.answer_as_zone_peer(request),
            GroupName::Global if self.has_global_authority(now) => {
                self.decide_formation(now, request, effects)
            }
            GroupName::Global => FormationAnswer::NotLeader {
                leader: self.global_leader_vm(),
            },
        }
    }

    /// Answers a process of the same zone. It may join this process's group if that group has a
    /// leader.
    fn answer_as_zone_peer(&self, request: &FormationRequest) -> FormationAnswer {
        let is_same_zone = request.zone == self.config.zone;
        let group = self
            .zone_member
            .group()
            .filter(|_| self.zone_member.has_leader());
        match group {
            Some(group) if is_same_zone => FormationAnswer::Join {
                group_epoch: group.replica().group_epoch(),
            },
            _ => FormationAnswer::Wait,
        }
    }

    fn decide_formation(
        &mut self,
        now: MonoTime,
        request: &FormationRequest,
        effects: &mut Vec<ControlEffect>,
    ) -> FormationAnswer {
        let (Some(leader), Some(group)) = (&self.global_leader, &self.global) else {
            return FormationAnswer::NotLeader { leader: None };
        };
        let machine = group.machine();
        let registered = machine.state().zones().get(&request.zone);
        let live_epoch = registered
            .filter(|_| leader.is_reachable(now, &request.zone))
            .map(|zone| zone.group_epoch);
        let decision = self.coordinator.decide(now, machine, live_epoch, request);
        match decision {
            FormationDecision::Answer(answer) => answer,
            FormationDecision::Propose(formation) => {
                let command = GlobalEntry::FormZone {
                    zone: request.zone.clone(),
                    formation,
                };
                self.propose_global(now, command, GlobalWaiter::Plan, effects);
                FormationAnswer::Wait
            }
        }
    }
}
