//! Passes events to the two groups and handles the effects that follow.

use chicory_consensus::{MemberId, PeerMessage, ReplicaEvent};
use chicory_ownership::{
    ClaimAnswer, GlobalLeader, GlobalLeaderConfig, GlobalOutcome, ZoneCommand, ZoneLeader,
    ZoneLeaderConfig, ZoneOutcome,
};
use chicory_types::MonoTime;

use super::{ControlCore, GlobalWaiter, ZoneWaiter};
use crate::GroupEffect;
use crate::{
    Acknowledgement, ControlEffect, ControlNote, ControlReply, GlobalEntry, GroupName,
    OperatorFailure, OperatorReply,
};

impl ControlCore {
    pub(super) fn receive(
        &mut self,
        now: MonoTime,
        group: GroupName,
        from: MemberId,
        message: PeerMessage,
        effects: &mut Vec<ControlEffect>,
    ) {
        match group {
            GroupName::Global => {
                self.step_global(now, ReplicaEvent::Received { from, message }, effects);
            }
            GroupName::Zone => {
                // Messages of other epochs are dropped. A message never makes a member leave its
                // group, because the group of the sender may never have formed. Only an answer of
                // the global group proves that a later group exists.
                let group = self.zone_member.group();
                if group.is_some_and(|g| g.replica().group_epoch() == message.group_epoch) {
                    self.step_zone(now, ReplicaEvent::Received { from, message }, effects);
                }
            }
        }
    }

    pub(super) fn step(
        &mut self,
        now: MonoTime,
        group: GroupName,
        event: ReplicaEvent,
        effects: &mut Vec<ControlEffect>,
    ) {
        match group {
            GroupName::Global => self.step_global(now, event, effects),
            GroupName::Zone => self.step_zone(now, event, effects),
        }
    }

    pub(super) fn step_global(
        &mut self,
        now: MonoTime,
        event: ReplicaEvent,
        effects: &mut Vec<ControlEffect>,
    ) {
        let Some(group) = &mut self.global else {
            return;
        };
        let group_effects = group.reduce(now, event);
        self.handle_global_effects(now, group_effects, effects);
    }

    pub(super) fn propose_global(
        &mut self,
        now: MonoTime,
        command: GlobalEntry,
        waiter: GlobalWaiter,
        effects: &mut Vec<ControlEffect>,
    ) {
        let Some(group) = &mut self.global else {
            return;
        };
        let group_effects = group.propose(now, command, waiter);
        self.handle_global_effects(now, group_effects, effects);
    }

    fn handle_global_effects(
        &mut self,
        now: MonoTime,
        group_effects: Vec<GroupEffect<GlobalOutcome, GlobalWaiter>>,
        effects: &mut Vec<ControlEffect>,
    ) {
        for group_effect in group_effects {
            match group_effect {
                GroupEffect::Send { to, message } => effects.push(ControlEffect::Send {
                    group: GroupName::Global,
                    to,
                    message,
                }),
                GroupEffect::Persist(request) => effects.push(ControlEffect::Persist {
                    group: GroupName::Global,
                    request,
                }),
                GroupEffect::Applied { outcome, waiter } => {
                    effects.extend(waiter.and_then(|w| global_reply(w, outcome)));
                }
                GroupEffect::Rejected { waiter, .. } => {
                    effects.extend(rejected_global(waiter));
                }
                GroupEffect::BecameLeader { term } => {
                    let config = GlobalLeaderConfig::default();
                    self.global_leader = Some(GlobalLeader::new(now, config));
                    self.coordinator =
                        crate::formation_coordinator::FormationCoordinator::default();
                    effects.push(ControlEffect::Note(ControlNote::BecameLeader {
                        group: GroupName::Global,
                        term,
                    }));
                }
                GroupEffect::LostLeadership => {
                    self.global_leader = None;
                    effects.push(ControlEffect::Note(ControlNote::LostLeadership {
                        group: GroupName::Global,
                    }));
                }
                GroupEffect::Superseded { .. } | GroupEffect::Corrupt(_) => {
                    effects.push(ControlEffect::Abort);
                }
            }
        }
    }

    pub(super) fn step_zone(
        &mut self,
        now: MonoTime,
        event: ReplicaEvent,
        effects: &mut Vec<ControlEffect>,
    ) {
        let Some(group) = self.zone_member.group_mut() else {
            return;
        };
        let group_effects = group.reduce(now, event);
        self.handle_zone_effects(now, group_effects, effects);
    }

    pub(super) fn propose_zone(
        &mut self,
        now: MonoTime,
        command: ZoneCommand,
        waiter: ZoneWaiter,
        effects: &mut Vec<ControlEffect>,
    ) {
        let Some(group) = self.zone_member.group_mut() else {
            return;
        };
        let group_effects = group.propose(now, command, waiter);
        self.handle_zone_effects(now, group_effects, effects);
    }

    fn handle_zone_effects(
        &mut self,
        now: MonoTime,
        group_effects: Vec<GroupEffect<ZoneOutcome, ZoneWaiter>>,
        effects: &mut Vec<ControlEffect>,
    ) {
        for group_effect in group_effects {
            match group_effect {
                GroupEffect::Send { to, message } => effects.push(ControlEffect::Send {
                    group: GroupName::Zone,
                    to,
                    message,
                }),
                GroupEffect::Applied { outcome, waiter } => {
                    effects.extend(waiter.and_then(|w| zone_reply(w, outcome)));
                }
                GroupEffect::Rejected { waiter, .. } => effects.extend(rejected_zone(waiter)),
                GroupEffect::BecameLeader { term } => {
                    let config = ZoneLeaderConfig::default();
                    self.zone_leader = Some(ZoneLeader::new(now, config));
                    self.sync.is_outstanding = false;
                    self.sync.has_synced = false;
                    effects.push(ControlEffect::Note(ControlNote::BecameLeader {
                        group: GroupName::Zone,
                        term,
                    }));
                }
                GroupEffect::LostLeadership => {
                    self.zone_leader = None;
                    effects.push(ControlEffect::Note(ControlNote::LostLeadership {
                        group: GroupName::Zone,
                    }));
                }
                GroupEffect::Corrupt(_) => effects.push(ControlEffect::Abort),
                GroupEffect::Persist(request) => effects.push(ControlEffect::Persist {
                    group: GroupName::Zone,
                    request,
                }),
                // `receive` already drops messages of other epochs.
                GroupEffect::Superseded { .. } => {}
            }
        }
        self.report_revision(effects);
    }

    fn report_revision(&mut self, effects: &mut Vec<ControlEffect>) {
        let Some(group) = self.zone_member.group() else {
            return;
        };
        let revision = group.machine().state().table().revision;
        if revision != self.revision_in_force {
            self.revision_in_force = revision;
            effects.push(ControlEffect::Note(ControlNote::TableInForce { revision }));
        }
    }
}

fn reply(call: crate::CallId, reply: ControlReply) -> ControlEffect {
    ControlEffect::Reply { call, reply }
}

fn zone_reply(waiter: ZoneWaiter, outcome: ZoneOutcome) -> Option<ControlEffect> {
    match (waiter, outcome) {
        (ZoneWaiter::Plan, _) => None,
        (ZoneWaiter::Claim(call), ZoneOutcome::Claimed(answer)) => {
            Some(reply(call, ControlReply::Claim(answer)))
        }
        (ZoneWaiter::Claim(call), _) => {
            Some(reply(call, ControlReply::Claim(ClaimAnswer::NotCustodian)))
        }
        (ZoneWaiter::Acknowledge(call), _) => Some(reply(
            call,
            ControlReply::Acknowledged(Acknowledgement::Done),
        )),
    }
}

/// Answers a rejected proposal as if another process led the group, so that the call is sent again.
/// Sending the same claim or report twice is harmless.
fn rejected_zone(waiter: ZoneWaiter) -> Option<ControlEffect> {
    let leader = None;
    match waiter {
        ZoneWaiter::Plan => None,
        ZoneWaiter::Claim(call) => Some(reply(
            call,
            ControlReply::Claim(ClaimAnswer::NotLeader { leader }),
        )),
        ZoneWaiter::Acknowledge(call) => Some(reply(
            call,
            ControlReply::Acknowledged(Acknowledgement::NotLeader { leader }),
        )),
    }
}

fn global_reply(waiter: GlobalWaiter, outcome: GlobalOutcome) -> Option<ControlEffect> {
    match (waiter, outcome) {
        (GlobalWaiter::Plan, _) => None,
        (GlobalWaiter::Edit(call), GlobalOutcome::Edited(outcome)) => Some(reply(
            call,
            ControlReply::Operator(OperatorReply::Edited(outcome)),
        )),
        (GlobalWaiter::Evict { call, moved_slots }, GlobalOutcome::Applied) => Some(reply(
            call,
            ControlReply::Operator(OperatorReply::Evicted { moved_slots }),
        )),
        (GlobalWaiter::Edit(call) | GlobalWaiter::Evict { call, .. }, _) => Some(reply(
            call,
            ControlReply::Operator(OperatorReply::Failed(OperatorFailure::NotFound)),
        )),
    }
}

fn rejected_global(waiter: GlobalWaiter) -> Option<ControlEffect> {
    match waiter {
        GlobalWaiter::Plan => None,
        GlobalWaiter::Edit(call) | GlobalWaiter::Evict { call, .. } => Some(reply(
            call,
            ControlReply::Operator(OperatorReply::Failed(OperatorFailure::Unavailable)),
        )),
    }
}
