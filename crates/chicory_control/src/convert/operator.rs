//! Conversions of answers to operators.

use chicory_wire::proto::operator::operator_answer::Answer;
use chicory_wire::proto::operator::{self, OperatorAnswer, OperatorError};
use chicory_wire::proto::view::NotLeader;

use crate::{OperatorFailure, OperatorReply, OwnerSummary, ServerSummary, ZoneSummary};

impl From<OperatorFailure> for OperatorError {
    fn from(failure: OperatorFailure) -> Self {
        match failure {
            OperatorFailure::WrongProcess => Self::WrongProcess,
            OperatorFailure::Unavailable => Self::Unavailable,
            OperatorFailure::NotFound => Self::NotFound,
        }
    }
}

impl From<ZoneSummary> for operator::ZoneStatus {
    fn from(summary: ZoneSummary) -> Self {
        let entries = summary.directory.entries.into_iter();
        Self {
            zone: summary.directory.zone,
            revision_in_force: summary.revision_in_force,
            is_reachable: summary.is_reachable,
            entries: entries.map(Into::into).collect(),
            custody_slots: summary.custody_slots,
        }
    }
}

impl From<ServerSummary> for operator::ServerStatus {
    fn from(summary: ServerSummary) -> Self {
        Self {
            record: Some(summary.record.into()),
            dispatcher: summary.dispatcher,
            owned_slots: summary.owned_slots,
            releasing_slots: summary.releasing_slots,
        }
    }
}

impl From<OwnerSummary> for operator::OwnerAnswer {
    fn from(summary: OwnerSummary) -> Self {
        Self {
            slot: summary.slot.into(),
            custody_zone: summary.custody_zone,
            server: summary.server,
            dispatcher: summary.dispatcher,
            token: summary.token.map(Into::into),
        }
    }
}

impl From<OperatorReply> for OperatorAnswer {
    fn from(reply: OperatorReply) -> Self {
        let answer = match reply {
            OperatorReply::Table(table) => Answer::TableGet(operator::TableGetAnswer {
                table: Some(table.into()),
            }),
            OperatorReply::Edited(outcome) => Answer::TableEdit(outcome.into()),
            OperatorReply::Status { revision, zones } => Answer::Status(operator::StatusAnswer {
                revision,
                zones: zones.into_iter().map(Into::into).collect(),
            }),
            OperatorReply::Zone {
                zone,
                revision_in_force,
                servers,
            } => Answer::ZoneDetail(operator::ZoneDetailAnswer {
                zone,
                revision_in_force,
                servers: servers.into_iter().map(Into::into).collect(),
            }),
            OperatorReply::Owner(owner) => Answer::Owner(owner.into()),
            OperatorReply::Evicted { moved_slots } => {
                Answer::EvictZone(operator::EvictZoneAnswer { moved_slots })
            }
            OperatorReply::Audit(records) => Answer::Audit(operator::AuditAnswer {
                records: records.into_iter().map(Into::into).collect(),
            }),
            OperatorReply::NotLeader { leader } => Answer::NotLeader(NotLeader { leader }),
            OperatorReply::Failed(failure) => Answer::Error(OperatorError::from(failure).into()),
        };
        Self {
            answer: Some(answer),
        }
    }
}
