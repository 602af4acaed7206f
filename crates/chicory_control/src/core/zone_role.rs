//! What a control process does as a member of its zone's group.

use chicory_ownership::{
    ClaimAnswer, ClaimRequest, RenewAnswer, RenewRequest, ZoneCommand, ZoneSyncAnswer,
};
use chicory_types::{MonoTime, ServerId, VmId};

use super::{ControlCore, ZoneWaiter};
use crate::{Acknowledgement, CallId, ControlEffect, ControlNote, ControlReply};

impl ControlCore {
    /// Returns the leader of the zone's group, if it is known and is another process.
    pub(super) fn zone_leader_vm(&self) -> Option<VmId> {
        let leader = self.zone_member.group()?.replica().leader()?;
        (leader.vm != self.config.vm).then(|| leader.vm.clone())
    }

    pub(super) fn answer_renewal(
        &mut self,
        now: MonoTime,
        call: CallId,
        request: &RenewRequest,
        effects: &mut Vec<ControlEffect>,
    ) {
        let (answer, commands) = self.renewal(now, request);
        effects.push(ControlEffect::Reply {
            call,
            reply: ControlReply::Renew(answer),
        });
        self.propose_plan(now, commands, effects);
    }

    fn renewal(
        &mut self,
        now: MonoTime,
        request: &RenewRequest,
    ) -> (RenewAnswer, Vec<ZoneCommand>) {
        let may_answer = self.has_zone_authority(now) && self.knows_table();
        match (&mut self.zone_leader, self.zone_member.group()) {
            (Some(leader), Some(group)) if may_answer => {
                leader.on_renew(now, group.machine().state(), request)
            }
            _ => {
                let leader = self.zone_leader_vm();
                (RenewAnswer::NotLeader { leader }, Vec::new())
            }
        }
    }

    /// Returns whether the table is known: either the zone has one, or the global group has
    /// confirmed that there is none.
    ///
    /// A newly formed group has no table until it has synchronized with the global group. If it
    /// answered renewals before that, entry processes would drop the services that they serve.
    fn knows_table(&self) -> bool {
        let group = self.zone_member.group();
        let has_table = group.is_some_and(|group| group.machine().state().table().revision > 0);
        has_table || self.sync.has_synced
    }

    pub(super) fn answer_claim(
        &mut self,
        now: MonoTime,
        call: CallId,
        request: ClaimRequest,
        effects: &mut Vec<ControlEffect>,
    ) {
        let Some(at_ms) = self.log_clock_ms(now) else {
            let leader = self.zone_leader_vm();
            effects.push(ControlEffect::Reply {
                call,
                reply: ControlReply::Claim(ClaimAnswer::NotLeader { leader }),
            });
            return;
        };
        let command = ZoneCommand::Claim { request, at_ms };
        self.propose_zone(now, command, ZoneWaiter::Claim(call), effects);
    }

    pub(super) fn answer_crash(
        &mut self,
        now: MonoTime,
        call: CallId,
        server: ServerId,
        fingerprints: Vec<u64>,
        was_alone: bool,
        effects: &mut Vec<ControlEffect>,
    ) {
        let at_ms = self.log_clock_ms(now).unwrap_or_default();
        let command = ZoneCommand::CountCrash {
            server,
            fingerprints,
            was_alone,
            at_ms,
        };
        self.propose_acknowledged(now, call, command, effects);
    }

    /// Proposes the command of a report that must not be lost. The call is answered once a majority
    /// has stored the command.
    pub(super) fn propose_acknowledged(
        &mut self,
        now: MonoTime,
        call: CallId,
        command: ZoneCommand,
        effects: &mut Vec<ControlEffect>,
    ) {
        if self.has_zone_authority(now) {
            self.propose_zone(now, command, ZoneWaiter::Acknowledge(call), effects);
            return;
        }
        let leader = self.zone_leader_vm();
        effects.push(ControlEffect::Reply {
            call,
            reply: ControlReply::Acknowledged(Acknowledgement::NotLeader { leader }),
        });
    }

    /// Returns the log clock, if this process is certain to lead the zone's group.
    fn log_clock_ms(&mut self, now: MonoTime) -> Option<u64> {
        if !self.has_zone_authority(now) {
            return None;
        }
        let state = self.zone_member.group()?.machine().state();
        Some(self.zone_leader.as_mut()?.log_clock_ms(now, state))
    }

    pub(super) fn plan_zone(&mut self, now: MonoTime, effects: &mut Vec<ControlEffect>) {
        if !self.has_zone_authority(now) {
            return;
        }
        let (Some(leader), Some(group)) = (&mut self.zone_leader, self.zone_member.group()) else {
            return;
        };
        let commands = leader.plan(now, group.machine().state());
        self.propose_plan(now, commands, effects);
    }

    fn propose_plan(
        &mut self,
        now: MonoTime,
        commands: Vec<ZoneCommand>,
        effects: &mut Vec<ControlEffect>,
    ) {
        for command in commands {
            self.propose_zone(now, command, ZoneWaiter::Plan, effects);
        }
    }

    pub(super) fn handle_sync_answer(
        &mut self,
        now: MonoTime,
        sent_at: MonoTime,
        from: &VmId,
        answer: &ZoneSyncAnswer,
        effects: &mut Vec<ControlEffect>,
    ) {
        self.sync.is_outstanding = false;
        match answer {
            ZoneSyncAnswer::NotLeader { leader } => {
                self.sync.target_index += 1;
                self.sync.leader.clone_from(leader);
                self.sync.due_at = now;
                return;
            }
            ZoneSyncAnswer::Refused(_) => return,
            ZoneSyncAnswer::Current { table, .. } => {
                self.sync.leader = Some(from.clone());
                self.sync.has_synced |= table.is_none();
            }
        }
        if !self.sync.is_reachable {
            self.sync.is_reachable = true;
            effects.push(ControlEffect::Note(ControlNote::GlobalGroupReachable));
        }
        if !self.has_zone_authority(now) {
            return;
        }
        let (Some(leader), Some(group)) = (&mut self.zone_leader, self.zone_member.group()) else {
            return;
        };
        let commands = leader.on_sync_answer(now, sent_at, group.machine().state(), answer);
        self.propose_plan(now, commands, effects);
    }

    pub(super) fn handle_sync_failure(&mut self, effects: &mut Vec<ControlEffect>) {
        self.sync.is_outstanding = false;
        self.sync.leader = None;
        self.sync.target_index += 1;
        if self.sync.is_reachable {
            self.sync.is_reachable = false;
            effects.push(ControlEffect::Note(ControlNote::GlobalGroupUnreachable));
        }
    }
}
