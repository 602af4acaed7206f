//! Conversions of the formation of zone groups.

use std::collections::BTreeSet;

use chicory_consensus::MemberId;
use chicory_types::ZoneName;
use chicory_wire::ConvertError;
use chicory_wire::proto::common::Empty;
use chicory_wire::proto::log::global_entry::Entry;
use chicory_wire::proto::view::NotLeader;
use chicory_wire::proto::zone::formation_answer::Answer;
use chicory_wire::proto::{consensus, log, zone};

use crate::{
    FormationAnswer, FormationRequest, GlobalEntry, GlobalMachine, GroupName, ZoneFormation,
};

const MISSING_ENTRY: ConvertError = ConvertError::Missing {
    field: "global_entry.entry",
};
const MISSING_FORMATION: ConvertError = ConvertError::Missing {
    field: "form_zone.formation",
};
const MISSING_MEMBER: ConvertError = ConvertError::Missing {
    field: "formation_request.member",
};
const MISSING_ANSWER: ConvertError = ConvertError::Missing {
    field: "formation_answer.answer",
};
const MISSING_STATE: ConvertError = ConvertError::Missing {
    field: "global_machine_snapshot.state",
};

fn members(messages: Vec<consensus::MemberId>) -> Result<BTreeSet<MemberId>, ConvertError> {
    messages.into_iter().map(MemberId::try_from).collect()
}

impl From<ZoneFormation> for zone::ZoneFormation {
    fn from(formation: ZoneFormation) -> Self {
        Self {
            group_epoch: formation.group_epoch,
            founders: formation.founders.into_iter().map(Into::into).collect(),
        }
    }
}

impl TryFrom<zone::ZoneFormation> for ZoneFormation {
    type Error = ConvertError;

    fn try_from(message: zone::ZoneFormation) -> Result<Self, ConvertError> {
        Ok(Self {
            group_epoch: message.group_epoch,
            founders: members(message.founders)?,
        })
    }
}

impl From<GlobalEntry> for log::GlobalEntry {
    fn from(entry: GlobalEntry) -> Self {
        let entry = match entry {
            GlobalEntry::Ownership(command) => command.into(),
            GlobalEntry::FormZone { zone, formation } => Entry::FormZone(log::FormZone {
                zone,
                formation: Some(formation.into()),
            }),
        };
        Self { entry: Some(entry) }
    }
}

impl TryFrom<log::GlobalEntry> for GlobalEntry {
    type Error = ConvertError;

    fn try_from(message: log::GlobalEntry) -> Result<Self, ConvertError> {
        match message.entry.ok_or(MISSING_ENTRY)? {
            Entry::FormZone(form) => Ok(Self::FormZone {
                zone: form.zone,
                formation: form.formation.ok_or(MISSING_FORMATION)?.try_into()?,
            }),
            other => Ok(Self::Ownership(other.try_into()?)),
        }
    }
}

/// Creates the record of a formation for a snapshot.
pub(crate) fn formation_record(zone: ZoneName, formation: ZoneFormation) -> log::FormZoneRecord {
    log::FormZoneRecord {
        zone,
        formation: Some(formation.into()),
    }
}

impl TryFrom<log::GlobalMachineSnapshot> for GlobalMachine {
    type Error = ConvertError;

    fn try_from(message: log::GlobalMachineSnapshot) -> Result<Self, ConvertError> {
        let state = message.state.ok_or(MISSING_STATE)?.try_into()?;
        let formations = message.formations.into_iter().map(|record| {
            let formation = record.formation.ok_or(MISSING_FORMATION)?;
            Ok((record.zone, formation.try_into()?))
        });
        Ok(Self::restored(
            state,
            formations.collect::<Result<_, ConvertError>>()?,
        ))
    }
}

impl From<GroupName> for consensus::GroupName {
    fn from(group: GroupName) -> Self {
        match group {
            GroupName::Global => Self::Global,
            GroupName::Zone => Self::Zone,
        }
    }
}

impl From<consensus::GroupName> for GroupName {
    fn from(message: consensus::GroupName) -> Self {
        match message {
            consensus::GroupName::Global => Self::Global,
            consensus::GroupName::Zone => Self::Zone,
        }
    }
}

/// Converts a formation request to its message.
#[must_use]
pub fn formation_request_message(request: FormationRequest) -> zone::FormationRequest {
    zone::FormationRequest {
        zone: request.zone,
        member: Some(MemberId::new(request.vm, request.incarnation).into()),
        zone_vms: request.zone_vms.into_iter().collect(),
        asked_group: consensus::GroupName::from(request.asked_group).into(),
        remembered_epoch: request.remembered_epoch,
    }
}

impl TryFrom<zone::FormationRequest> for FormationRequest {
    type Error = ConvertError;

    fn try_from(message: zone::FormationRequest) -> Result<Self, ConvertError> {
        let member: MemberId = message.member.ok_or(MISSING_MEMBER)?.try_into()?;
        let asked_group = consensus::GroupName::try_from(message.asked_group);
        let out_of_range = ConvertError::OutOfRange {
            field: "formation_request.asked_group",
        };
        Ok(Self {
            zone: message.zone,
            vm: member.vm,
            incarnation: member.incarnation,
            zone_vms: message.zone_vms.into_iter().collect(),
            asked_group: asked_group.map_err(|_| out_of_range)?.into(),
            remembered_epoch: message.remembered_epoch,
        })
    }
}

impl From<FormationAnswer> for zone::FormationAnswer {
    fn from(answer: FormationAnswer) -> Self {
        let answer = match answer {
            FormationAnswer::Wait => Answer::Wait(Empty {}),
            FormationAnswer::Join { group_epoch } => Answer::JoinEpoch(group_epoch),
            FormationAnswer::Found {
                group_epoch,
                founders,
            } => Answer::Found(
                ZoneFormation {
                    group_epoch,
                    founders,
                }
                .into(),
            ),
            FormationAnswer::NotLeader { leader } => Answer::NotLeader(NotLeader { leader }),
        };
        Self {
            answer: Some(answer),
        }
    }
}

/// Converts a message to the answer to a formation request.
///
/// # Errors
///
/// Returns [`ConvertError`] if the message is incomplete.
pub fn formation_answer_from_message(
    message: zone::FormationAnswer,
) -> Result<FormationAnswer, ConvertError> {
    Ok(match message.answer.ok_or(MISSING_ANSWER)? {
        Answer::Wait(Empty {}) => FormationAnswer::Wait,
        Answer::JoinEpoch(group_epoch) => FormationAnswer::Join { group_epoch },
        Answer::Found(formation) => {
            let formation = ZoneFormation::try_from(formation)?;
            FormationAnswer::Found {
                group_epoch: formation.group_epoch,
                founders: formation.founders,
            }
        }
        Answer::NotLeader(other) => FormationAnswer::NotLeader {
            leader: other.leader,
        },
    })
}
