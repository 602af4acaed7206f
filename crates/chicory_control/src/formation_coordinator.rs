//! Decides when, and with which founders, the zone groups are formed.

use std::collections::{BTreeMap, BTreeSet};

use chicory_consensus::MemberId;
use chicory_types::{MonoTime, VmId, ZoneName};

use crate::control_config::{FORMATION_REQUEST_TTL, FORMATION_WAIT_LIMIT};
use crate::{FormationAnswer, FormationRequest, GlobalMachine, ZoneFormation};

/// A process without state of its zone's group that waits until it may join or form one.
#[derive(Clone, Debug)]
struct WaitingMember {
    member: MemberId,
    last_request_at: MonoTime,
}

/// The waiting processes of one zone, by VM.
#[derive(Clone, Debug)]
struct WaitingZone {
    /// Time since which at least one of the processes has been waiting.
    since: MonoTime,
    members: BTreeMap<VmId, WaitingMember>,
}

/// Decision on a formation request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FormationDecision {
    /// Send this answer.
    Answer(FormationAnswer),
    /// Propose the formation to the global group, and answer that the process has to wait.
    Propose(ZoneFormation),
}

/// Decides on the formation of zone groups. Runs in the leader of the global group.
///
/// The group of a zone without disks is lost once a majority of its VMs runs processes that have
/// no state of it. Each of these processes sends a formation request and takes part in no group
/// until the answer allows it. A new group is therefore formed only when the former one can never
/// have a quorum again.
#[derive(Debug, Default)]
pub struct FormationCoordinator {
    waiting_zones: BTreeMap<ZoneName, WaitingZone>,
}

impl FormationCoordinator {
    /// Decides on one request.
    ///
    /// `live_epoch` is the epoch of the zone's group if that group was in contact with the global
    /// group recently.
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

    /// Returns the founders if all VMs of the zone are waiting, or if a majority is and
    /// [`FORMATION_WAIT_LIMIT`] is over.
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

/// Answers a process that still has state of its group. It may leave that group only for a later
/// one that has registered with the global group and is therefore certain to exist.
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
