//! How the global group decides on the formation of zone groups.

use std::collections::{BTreeMap, BTreeSet};

use chicory_consensus::MemberId;
use chicory_types::{MonoTime, VmId, ZoneName};

use crate::control_config::{FORMATION_MARK_LIMIT, FORMATION_PATIENCE};
use crate::{FormationAnswer, FormationRequest, GlobalMachine, ZoneFormation};

/// A member without memory that waits for an answer.
#[derive(Clone, Debug)]
struct Mark {
    member: MemberId,
    asked_at: MonoTime,
}

/// Members of one zone that wait.
#[derive(Clone, Debug)]
struct Waiting {
    since: MonoTime,
    marks: BTreeMap<VmId, Mark>,
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
pub struct FormationDesk {
    waiting: BTreeMap<ZoneName, Waiting>,
}

impl FormationDesk {
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
            return FormationDecision::Answer(successor(machine, request, remembered));
        }
        let member = MemberId::new(request.vm.clone(), request.incarnation);
        if let Some(answer) = found(machine, &request.zone, &member) {
            return FormationDecision::Answer(answer);
        }
        if let Some(group_epoch) = live_epoch {
            self.forget(&request.zone, &request.vm);
            return FormationDecision::Answer(FormationAnswer::Join { group_epoch });
        }
        self.mark(now, &request.zone, member);
        match self.founders(now, request) {
            Some(founders) => FormationDecision::Propose(ZoneFormation {
                group_epoch: 1 + formed_epoch(machine, &request.zone),
                founders,
            }),
            None => FormationDecision::Answer(FormationAnswer::Wait),
        }
    }

    fn mark(&mut self, now: MonoTime, zone: &ZoneName, member: MemberId) {
        let waiting = self.waiting.entry(zone.clone()).or_insert(Waiting {
            since: now,
            marks: BTreeMap::new(),
        });
        waiting
            .marks
            .retain(|_, mark| now < mark.asked_at + FORMATION_MARK_LIMIT);
        if waiting.marks.is_empty() {
            waiting.since = now;
        }
        let mark = Mark {
            member,
            asked_at: now,
        };
        waiting.marks.insert(mark.member.vm.clone(), mark);
    }

    fn forget(&mut self, zone: &ZoneName, vm: &VmId) {
        if let Some(waiting) = self.waiting.get_mut(zone) {
            waiting.marks.remove(vm);
        }
    }

    /// The founders, if all VMs of the zone wait, or a majority has waited for long.
    fn founders(&self, now: MonoTime, request: &FormationRequest) -> Option<BTreeSet<MemberId>> {
        let waiting = self.waiting.get(&request.zone)?;
        let of_zone = waiting
            .marks
            .values()
            .filter(|mark| request.zone_vms.contains(&mark.member.vm));
        let founders: BTreeSet<MemberId> = of_zone.map(|mark| mark.member.clone()).collect();
        let are_all = founders.len() == request.zone_vms.len();
        let is_majority = founders.len() * 2 > request.zone_vms.len();
        let was_patient = now >= waiting.since + FORMATION_PATIENCE;
        (are_all || (is_majority && was_patient)).then_some(founders)
    }
}

fn formed_epoch(machine: &GlobalMachine, zone: &ZoneName) -> u64 {
    machine.formation(zone).map_or(0, |known| known.group_epoch)
}

fn found(machine: &GlobalMachine, zone: &ZoneName, member: &MemberId) -> Option<FormationAnswer> {
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
fn successor(
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
