//! Answers to the calls of operators.

use chicory_ownership::ZoneState;
use chicory_table::{AuditQuery, TableEdit};
use chicory_types::{MonoTime, OperatorName, ServiceName, SlotRun, ZoneName, slot_of_key};

use super::{ControlCore, GlobalWaiter};
use crate::{
    CallId, ControlEffect, ControlReply, GlobalEntry, GlobalMachine, OperatorCall, OperatorFailure,
    OperatorReply, OwnerSummary, ServerSummary, ZoneSummary,
};

/// Maximum number of audit records in one answer.
const MAX_AUDIT_RECORDS: u32 = 1_000;

impl ControlCore {
    pub(super) fn answer_operator(
        &mut self,
        now: MonoTime,
        call: CallId,
        operator: &OperatorName,
        request: OperatorCall,
        effects: &mut Vec<ControlEffect>,
    ) {
        match request {
            OperatorCall::EditTable {
                edit_id,
                base_revision,
                changes,
            } => {
                let edit = TableEdit {
                    edit_id,
                    base_revision,
                    operator: operator.clone(),
                    changes,
                };
                let command = chicory_ownership::GlobalCommand::EditTable {
                    edit,
                    at_ms: self.wall_ms,
                };
                self.propose_change(now, call, command, GlobalWaiter::Edit(call), effects);
            }
            OperatorCall::EvictZone { zone, edit_id } => {
                let moved_slots = self.custody_slots(&zone);
                let command = chicory_ownership::GlobalCommand::EvictZone {
                    zone,
                    operator: operator.clone(),
                    edit_id,
                    at_ms: self.wall_ms,
                };
                let waiter = GlobalWaiter::Evict { call, moved_slots };
                self.propose_change(now, call, command, waiter, effects);
            }
            read_call => {
                let reply = self.answer_read(now, read_call);
                effects.push(operator_reply(call, reply));
            }
        }
    }

    /// Proposes an operator's change to the global group.
    fn propose_change(
        &mut self,
        now: MonoTime,
        call: CallId,
        command: chicory_ownership::GlobalCommand,
        waiter: GlobalWaiter,
        effects: &mut Vec<ControlEffect>,
    ) {
        if self.has_global_authority(now) {
            self.propose_global(now, GlobalEntry::Ownership(command), waiter, effects);
            return;
        }
        effects.push(operator_reply(call, self.no_authority_reply()));
    }

    fn no_authority_reply(&self) -> OperatorReply {
        match (self.global_leader_vm(), &self.global) {
            (Some(leader), _) => OperatorReply::NotLeader {
                leader: Some(leader),
            },
            (None, Some(_)) => OperatorReply::Failed(OperatorFailure::Unavailable),
            (None, None) => OperatorReply::Failed(OperatorFailure::WrongProcess),
        }
    }

    fn answer_read(&self, now: MonoTime, request: OperatorCall) -> OperatorReply {
        match request {
            OperatorCall::GetZone => self.zone_detail(),
            OperatorCall::GetOwner { service, key } => self.owner_summary(&service, &key),
            global_read => self.answer_global_read(now, global_read),
        }
    }

    fn answer_global_read(&self, now: MonoTime, request: OperatorCall) -> OperatorReply {
        let group = self.global.as_ref();
        let Some(group) = group.filter(|group| group.has_authority(now)) else {
            return self.no_authority_reply();
        };
        let machine = group.machine();
        match request {
            OperatorCall::GetTable => OperatorReply::Table(machine.state().table().clone()),
            OperatorCall::GetStatus => self.status(now, machine),
            OperatorCall::GetAudit {
                operator,
                from_sequence,
                limit,
            } => {
                let query = AuditQuery {
                    operator,
                    from_sequence,
                    limit: limit.min(MAX_AUDIT_RECORDS) as usize,
                };
                OperatorReply::Audit(machine.state().store().audit().query(&query))
            }
            _ => OperatorReply::Failed(OperatorFailure::WrongProcess),
        }
    }

    fn status(&self, now: MonoTime, machine: &GlobalMachine) -> OperatorReply {
        let Some(leader) = &self.global_leader else {
            return OperatorReply::Failed(OperatorFailure::Unavailable);
        };
        let state = machine.state();
        let zones = state.zones().iter().map(|(zone, status)| ZoneSummary {
            directory: leader.directory_of(zone),
            revision_in_force: status.in_force_revision,
            is_reachable: leader.is_reachable(now, zone),
            custody_slots: self.custody_slots(zone),
        });
        OperatorReply::Status {
            revision: state.table().revision,
            zones: zones.collect(),
        }
    }

    fn custody_slots(&self, zone: &ZoneName) -> u64 {
        let Some(group) = &self.global else {
            return 0;
        };
        let state = group.machine().state();
        let services = state.custody().keys();
        services
            .flat_map(|service| state.runs_of(service, zone))
            .map(slot_count)
            .sum()
    }

    fn zone_detail(&self) -> OperatorReply {
        let Some(group) = self.zone_member.group() else {
            return OperatorReply::Failed(OperatorFailure::Unavailable);
        };
        let state = group.machine().state();
        let servers = state.servers().values().map(|entry| {
            let (owned_slots, releasing_slots) = count_slots(state, &entry.record.server);
            ServerSummary {
                record: entry.record.clone(),
                dispatcher: entry.dispatcher.as_ref().map(|d| d.vm.clone()),
                owned_slots,
                releasing_slots,
            }
        });
        OperatorReply::Zone {
            zone: self.config.zone.clone(),
            revision_in_force: state.table().revision,
            servers: servers.collect(),
        }
    }

    fn owner_summary(&self, service: &ServiceName, key: &str) -> OperatorReply {
        let Some(group) = self.zone_member.group() else {
            return OperatorReply::Failed(OperatorFailure::Unavailable);
        };
        let state = group.machine().state();
        if !state.table().services.contains_key(service) {
            return OperatorReply::Failed(OperatorFailure::NotFound);
        }
        let slot = slot_of_key(key);
        let custody = state.custody(service).and_then(|runs| runs.get(slot));
        let hold = state.holds(service).and_then(|runs| runs.get(slot));
        let server = hold.map(|hold| hold.server.clone());
        let entry = server
            .as_ref()
            .and_then(|server| state.servers().get(server));
        OperatorReply::Owner(OwnerSummary {
            slot,
            custody_zone: custody.map(|custody| custody.zone.clone()),
            dispatcher: entry.and_then(|e| e.dispatcher.as_ref().map(|d| d.vm.clone())),
            server,
            token: hold.map(|hold| hold.token),
        })
    }
}

fn operator_reply(call: CallId, reply: OperatorReply) -> ControlEffect {
    ControlEffect::Reply {
        call,
        reply: ControlReply::Operator(reply),
    }
}

fn slot_count(run: SlotRun) -> u64 {
    u64::from(run.last - run.first) + 1
}

/// Returns how many slots a server owns, and how many it is releasing.
fn count_slots(state: &ZoneState, server: &str) -> (u64, u64) {
    let services = state.table().services.keys();
    let holds = services.filter_map(|service| state.holds(service));
    let of_server = holds.flat_map(|holds| holds.iter().filter(|(_, hold)| hold.server == server));
    of_server.fold((0, 0), |(owned, releasing), (run, hold)| {
        if hold.releasing_since.is_some() {
            (owned, releasing + slot_count(run))
        } else {
            (owned + slot_count(run), releasing)
        }
    })
}
