//! How the global group decides on the formation of zone groups.

use std::collections::{BTreeMap, BTreeSet};

use chicory_consensus::MemberId;
use chicory_types::{MonoTime, VmId, ZoneName};

use crate::control_config::{FORMATION_REQUEST_TTL, FORMATION_WAIT_LIMIT};
use crate::{FormationAnswer, FormationRequest, GlobalMachine, ZoneFormation};

/// A member without memory that waits for an answer.
#[derive(Clone, Debug)]
struct WaitingMember {
    member: MemberId,
    last_request_at: MonoTime,
}

/// Members of one zone that wait.
#[derive(Clone, Debug)]
struct WaitingZone {
    since: MonoTime,
    members: BTreeMap<VmId, WaitingMember>,
}

/// What is to be done about a member without memory.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FormationDecision {
    /// Answer it.
    Answer(FormationAnswer),
    /// Propose the formation, and tell the member to wait.
    Propose(ZoneFormation),
}

/// Decides on the formation of zone groups; part of the leader of the global group.
///
/// A zone's group without disks is lost once a majority of its VMs run processes without memory of
/// it. Each such process says so here and takes part in no group until it is told to. So a new
/// group is formed only when the former one can't ever have a quorum again.
#[derive(Debug, Default)]
pub struct FormationCoordinator {
    waiting_zones: BTreeMap<ZoneName, WaitingZone>,
}

impl FormationCoordinator {
    /// Decides on one request.
    ///
    /// `live_epoch` is the epoch of the zone's group if that was heard of lately.
    pub fn decide(
        &mut self,
        now: MonoTime,
        machine: &GlobalMachine,
        live_epoch: Option<u64>,
        request: &FormationRequest,
    ) -> FormationDecision {
        if let Some(remembered) = request.remembered_epoch {
            return FormationDecision::Answer(successor_answer(machine, request, remembered));
        }
        let member = MemberId::new(request.vm.clone(), request.incarnation);
        if let Some(answer) = founder_answer(machine, &request.zone, &member) {
            return FormationDecision::Answer(answer);
        }
        if let Some(group_epoch) = live_epoch {
            self.remove_member(&request.zone, &request.vm);
            return FormationDecision::Answer(FormationAnswer::Join { group_epoch });
        }
        self.record_request(now, &request.zone, member);
        match self.founders(now, request) {
            Some(founders) => FormationDecision::Propose(ZoneFormation {
                group_epoch: 1 + formed_epoch(machine, &request.zone),
                founders,
            }),
            None => FormationDecision::Answer(FormationAnswer::Wait),
        }
    }

    fn record_request(&mut self, now: MonoTime, zone: &ZoneName, member: MemberId) {
        let waiting_zone = self
            .waiting_zones
            .entry(zone.clone())
            .or_insert(WaitingZone {
                since: now,
                members: BTreeMap::new(),
            });
        waiting_zone.members.retain(|_, waiting_member| {
            now < waiting_member.last_request_at + FORMATION_REQUEST_TTL
        });
        if waiting_zone.members.is_empty() {
            waiting_zone.since = now;
        }
        let waiting_member = WaitingMember {
            member,
            last_request_at: now,
        };
        waiting_zone
            .members
            .insert(waiting_member.member.vm.clone(), waiting_member);
    }

    fn remove_member(&mut self, zone: &ZoneName, vm: &VmId) {
        if let Some(waiting_zone) = self.waiting_zones.get_mut(zone) {
            waiting_zone.members.remove(vm);
        }
    }

    /// The founders, if all VMs of the zone wait, or a majority has waited for long.
    fn founders(&self, now: MonoTime, request: &FormationRequest) -> Option<BTreeSet<MemberId>> {
        let waiting_zone = self.waiting_zones.get(&request.zone)?;
        let waiting_in_zone = waiting_zone
            .members
            .values()
            .filter(|waiting_member| request.zone_vms.contains(&waiting_member.member.vm));
        let founders: BTreeSet<MemberId> = waiting_in_zone
            .map(|waiting_member| waiting_member.member.clone())
            .collect();
        let has_all = founders.len() == request.zone_vms.len();
        let has_majority = founders.len() * 2 > request.zone_vms.len();
        let is_wait_over = now >= waiting_zone.since + FORMATION_WAIT_LIMIT;
        (has_all || (has_majority && is_wait_over)).then_some(founders)
    }
}

fn formed_epoch(machine: &GlobalMachine, zone: &ZoneName) -> u64 {
    machine.formation(zone).map_or(0, |known| known.group_epoch)
}

fn founder_answer(
    machine: &GlobalMachine,
    zone: &ZoneName,
    member: &MemberId,
) -> Option<FormationAnswer> {
    let formation = machine.formation(zone)?;
    formation
        .founders
        .contains(member)
        .then(|| FormationAnswer::Found {
            group_epoch: formation.group_epoch,
            founders: formation.founders.clone(),
        })
}

/// A process with memory leaves its group only for a later one that surely lives.
fn successor_answer(
    machine: &GlobalMachine,
    request: &FormationRequest,
    remembered: u64,
) -> FormationAnswer {
    let registered = machine.state().zones().get(&request.zone);
    let registered_epoch = registered.map_or(0, |zone| zone.group_epoch);
    if registered_epoch > remembered {
        FormationAnswer::Join {
            group_epoch: registered_epoch,
        }
    } else {
        FormationAnswer::Wait
    }
}
