//! Conversions of the requests and answers with which entry processes renew their lease.

use std::time::Duration;

use chicory_ownership::{
    ReleasedSlots, RenewAnswer, RenewRefusal, RenewRequest, ServerCondition, ServerReport, SlotHeat,
};

use crate::convert_error::{
    OutOfRangeSnafu, from_messages, into_messages, millis, narrowed, required,
};
use crate::proto::view::renew_answer::Answer;
use crate::proto::view::server_report::Condition;
use crate::{ConvertError, proto::view};

impl From<ReleasedSlots> for view::ReleasedSlots {
    fn from(released: ReleasedSlots) -> Self {
        Self {
            service: released.service,
            runs: into_messages(released.runs),
            server: released.server,
        }
    }
}

impl TryFrom<view::ReleasedSlots> for ReleasedSlots {
    type Error = ConvertError;

    fn try_from(message: view::ReleasedSlots) -> Result<Self, ConvertError> {
        Ok(Self {
            service: message.service,
            runs: from_messages(message.runs)?,
            server: message.server,
        })
    }
}

impl From<SlotHeat> for view::SlotHeat {
    fn from(heat: SlotHeat) -> Self {
        Self {
            slot: heat.slot.into(),
            requests: heat.requests,
        }
    }
}

impl TryFrom<view::SlotHeat> for SlotHeat {
    type Error = ConvertError;

    fn try_from(message: view::SlotHeat) -> Result<Self, ConvertError> {
        Ok(Self {
            slot: narrowed(message.slot, "slot_heat.slot")?,
            requests: message.requests,
        })
    }
}

impl From<ServerReport> for view::ServerReport {
    fn from(report: ServerReport) -> Self {
        let condition = match report.condition {
            ServerCondition::Up => Condition::Up,
            ServerCondition::Down => Condition::Down,
        };
        Self {
            server: report.server,
            incarnation: report.incarnation,
            condition: condition.into(),
            requests: report.requests,
            hottest_slots: into_messages(report.hottest_slots),
        }
    }
}

impl TryFrom<view::ServerReport> for ServerReport {
    type Error = ConvertError;

    fn try_from(message: view::ServerReport) -> Result<Self, ConvertError> {
        let condition = match Condition::try_from(message.condition) {
            Ok(Condition::Up) => ServerCondition::Up,
            Ok(Condition::Down) => ServerCondition::Down,
            Err(_) => {
                return OutOfRangeSnafu {
                    field: "server_report.condition",
                }
                .fail();
            }
        };
        Ok(Self {
            server: message.server,
            incarnation: message.incarnation,
            condition,
            requests: message.requests,
            hottest_slots: from_messages(message.hottest_slots)?,
        })
    }
}

impl From<RenewRequest> for view::RenewRequest {
    fn from(request: RenewRequest) -> Self {
        Self {
            entry: Some(request.entry.into()),
            known_view: request.known_view,
            stopping: request.stopping,
            announcements: into_messages(request.announcements),
            released: into_messages(request.released),
            resigned: request.resigned,
            reports: into_messages(request.reports),
        }
    }
}

impl TryFrom<view::RenewRequest> for RenewRequest {
    type Error = ConvertError;

    fn try_from(message: view::RenewRequest) -> Result<Self, ConvertError> {
        Ok(Self {
            entry: required(message.entry, "renew_request.entry")?.try_into()?,
            known_view: message.known_view,
            stopping: message.stopping,
            announcements: from_messages(message.announcements)?,
            released: from_messages(message.released)?,
            resigned: message.resigned,
            reports: from_messages(message.reports)?,
        })
    }
}

impl From<RenewAnswer> for view::RenewAnswer {
    fn from(value: RenewAnswer) -> Self {
        let answer = match value {
            RenewAnswer::Granted { lease, update } => Answer::Granted(view::RenewGranted {
                lease_ms: millis(lease),
                update: Some(update.into()),
            }),
            RenewAnswer::NotLeader { leader } => Answer::NotLeader(view::NotLeader { leader }),
            RenewAnswer::Refused(refusal) => Answer::Refused(renew_refusal(refusal).into()),
        };
        Self {
            answer: Some(answer),
        }
    }
}

fn renew_refusal(refusal: RenewRefusal) -> view::RenewRefusal {
    match refusal {
        RenewRefusal::SupersededIncarnation => view::RenewRefusal::SupersededIncarnation,
        RenewRefusal::WrongZone => view::RenewRefusal::WrongZone,
    }
}

impl TryFrom<view::RenewAnswer> for RenewAnswer {
    type Error = ConvertError;

    fn try_from(message: view::RenewAnswer) -> Result<Self, ConvertError> {
        match required(message.answer, "renew_answer.answer")? {
            Answer::Granted(granted) => Ok(Self::Granted {
                lease: Duration::from_millis(granted.lease_ms),
                update: required(granted.update, "renew_granted.update")?.try_into()?,
            }),
            Answer::NotLeader(other) => Ok(Self::NotLeader {
                leader: other.leader,
            }),
            Answer::Refused(refusal) => match view::RenewRefusal::try_from(refusal) {
                Ok(view::RenewRefusal::SupersededIncarnation) => {
                    Ok(Self::Refused(RenewRefusal::SupersededIncarnation))
                }
                Ok(view::RenewRefusal::WrongZone) => Ok(Self::Refused(RenewRefusal::WrongZone)),
                Err(_) => OutOfRangeSnafu {
                    field: "renew_answer.refused",
                }
                .fail(),
            },
        }
    }
}
