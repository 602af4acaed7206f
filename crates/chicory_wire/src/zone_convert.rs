//! Conversions of the requests and answers between a zone group and the global group.

use std::collections::BTreeMap;
use std::time::Duration;

use chicory_ownership::{ZoneDirectory, ZoneSyncAnswer, ZoneSyncRefusal, ZoneSyncRequest};
use chicory_table::CustodyLease;

use crate::convert_error::{enum_value, from_messages, into_messages, millis, required};
use crate::proto::view::NotLeader;
use crate::proto::zone::zone_sync_answer::Answer;
use crate::record_macro::{convert_enum, convert_record};
use crate::{ConvertError, proto::zone};

convert_record!(
    ZoneDirectory,
    zone::ZoneDirectory {
        plain: [zone],
        nested: [],
        list: [entries],
    }
);

impl From<ZoneSyncRequest> for zone::ZoneSyncRequest {
    fn from(request: ZoneSyncRequest) -> Self {
        Self {
            zone: request.zone,
            group_epoch: request.group_epoch,
            leader: request.leader,
            in_force_revision: request.in_force_revision,
            known_custody_version: request.known_custody_version,
            entries: into_messages(request.entries),
            releases: into_messages(request.releases),
            served: request.served.into_iter().collect(),
            known_directories: request.known_directories,
        }
    }
}

impl TryFrom<zone::ZoneSyncRequest> for ZoneSyncRequest {
    type Error = ConvertError;

    fn try_from(message: zone::ZoneSyncRequest) -> Result<Self, ConvertError> {
        Ok(Self {
            zone: message.zone,
            group_epoch: message.group_epoch,
            leader: message.leader,
            in_force_revision: message.in_force_revision,
            known_custody_version: message.known_custody_version,
            entries: from_messages(message.entries)?,
            releases: from_messages(message.releases)?,
            served: message.served.into_iter().collect(),
            known_directories: message.known_directories,
        })
    }
}

convert_enum!(
    ZoneSyncRefusal,
    zone::ZoneSyncRefusal,
    [Registering, SupersededGroup]
);

impl From<ZoneSyncAnswer> for zone::ZoneSyncAnswer {
    fn from(value: ZoneSyncAnswer) -> Self {
        let answer = match value {
            ZoneSyncAnswer::Current {
                custody_leases,
                custody_version,
                table,
                custody,
                zones,
            } => Answer::Current(zone::ZoneSyncCurrent {
                custody_leases: custody_leases.into_iter().map(service_lease).collect(),
                custody_version,
                table: table.map(Into::into),
                custody: custody.map(Into::into),
                zones: into_messages(zones),
            }),
            ZoneSyncAnswer::NotLeader { leader } => Answer::NotLeader(NotLeader { leader }),
            ZoneSyncAnswer::Refused(refusal) => {
                Answer::Refused(zone::ZoneSyncRefusal::from(refusal).into())
            }
        };
        Self {
            answer: Some(answer),
        }
    }
}

fn service_lease((service, lease): (String, CustodyLease)) -> zone::ServiceLease {
    let lease_ms = match lease {
        CustodyLease::Unlimited => None,
        CustodyLease::Limited(span) => Some(millis(span)),
    };
    zone::ServiceLease { service, lease_ms }
}

fn custody_leases(messages: Vec<zone::ServiceLease>) -> BTreeMap<String, CustodyLease> {
    let leases = messages.into_iter().map(|message| {
        let lease = message
            .lease_ms
            .map_or(CustodyLease::Unlimited, |lease_ms| {
                CustodyLease::Limited(Duration::from_millis(lease_ms))
            });
        (message.service, lease)
    });
    leases.collect()
}

impl TryFrom<zone::ZoneSyncAnswer> for ZoneSyncAnswer {
    type Error = ConvertError;

    fn try_from(message: zone::ZoneSyncAnswer) -> Result<Self, ConvertError> {
        match required(message.answer, "zone_sync_answer.answer")? {
            Answer::Current(current) => Ok(Self::Current {
                custody_leases: custody_leases(current.custody_leases),
                custody_version: current.custody_version,
                table: current.table.map(TryInto::try_into).transpose()?,
                custody: current.custody.map(TryInto::try_into).transpose()?,
                zones: from_messages(current.zones)?,
            }),
            Answer::NotLeader(other) => Ok(Self::NotLeader {
                leader: other.leader,
            }),
            Answer::Refused(refusal) => {
                let refusal: zone::ZoneSyncRefusal =
                    enum_value(refusal, "zone_sync_answer.refused")?;
                Ok(Self::Refused(refusal.into()))
            }
        }
    }
}
