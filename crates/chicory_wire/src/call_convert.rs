//! Conversions of calls of operators and backend servers, and of the answers to them.

use chicory_directory::{SiteAnswer, SiteCall};

use crate::ConvertError;
use crate::convert_error::required;
use crate::proto::common;
use crate::proto::site::{self, site_answer, site_call};

impl From<SiteCall> for site::SiteCall {
    fn from(call: SiteCall) -> Self {
        use site_call::Call;
        let call = match call {
            SiteCall::Announce(record) => Call::Announce(record.into()),
            SiteCall::Leave {
                server,
                started_at_ms,
            } => Call::Leave(site::Leave {
                server,
                started_at_ms,
            }),
            SiteCall::PutRoutes(table) => Call::PutRoutes(table.into()),
            SiteCall::ReadRoutes => Call::ReadRoutes(common::Empty {}),
            SiteCall::BeginEvacuation(zone) => Call::BeginEvacuation(zone),
            SiteCall::FinishEvacuation(zone) => Call::FinishEvacuation(zone),
            SiteCall::ReadEvacuations => Call::ReadEvacuations(common::Empty {}),
        };
        Self { call: Some(call) }
    }
}

impl TryFrom<site::SiteCall> for SiteCall {
    type Error = ConvertError;

    fn try_from(message: site::SiteCall) -> Result<Self, ConvertError> {
        use site_call::Call;
        Ok(match required(message.call, "site_call.call")? {
            Call::Announce(record) => Self::Announce(record.try_into()?),
            Call::Leave(leave) => Self::Leave {
                server: leave.server,
                started_at_ms: leave.started_at_ms,
            },
            Call::PutRoutes(table) => Self::PutRoutes(table.try_into()?),
            Call::ReadRoutes(_) => Self::ReadRoutes,
            Call::BeginEvacuation(zone) => Self::BeginEvacuation(zone),
            Call::FinishEvacuation(zone) => Self::FinishEvacuation(zone),
            Call::ReadEvacuations(_) => Self::ReadEvacuations,
        })
    }
}

impl From<SiteAnswer> for site::SiteAnswer {
    fn from(answer: SiteAnswer) -> Self {
        use site_answer::Answer;
        let empty = common::Empty {};
        let answer = match answer {
            SiteAnswer::Done => Answer::Done(empty),
            SiteAnswer::Routes(table) => Answer::Routes(table.into()),
            SiteAnswer::Invalid(fault) => Answer::Invalid(fault),
            SiteAnswer::Stale => Answer::Stale(empty),
            SiteAnswer::Unavailable => Answer::Unavailable(empty),
            SiteAnswer::UnknownService => Answer::UnknownService(empty),
            SiteAnswer::UnknownZone => Answer::UnknownZone(empty),
            SiteAnswer::EvacuatedZones(zones) => Answer::EvacuatedZones(site::Evacuations {
                zones: zones.into_iter().collect(),
            }),
        };
        Self {
            answer: Some(answer),
        }
    }
}

impl TryFrom<site::SiteAnswer> for SiteAnswer {
    type Error = ConvertError;

    fn try_from(message: site::SiteAnswer) -> Result<Self, ConvertError> {
        use site_answer::Answer;
        Ok(match required(message.answer, "site_answer.answer")? {
            Answer::Done(_) => Self::Done,
            Answer::Routes(table) => Self::Routes(table.try_into()?),
            Answer::Invalid(fault) => Self::Invalid(fault),
            Answer::Stale(_) => Self::Stale,
            Answer::Unavailable(_) => Self::Unavailable,
            Answer::UnknownService(_) => Self::UnknownService,
            Answer::UnknownZone(_) => Self::UnknownZone,
            Answer::EvacuatedZones(evacuations) => {
                Self::EvacuatedZones(evacuations.zones.into_iter().collect())
            }
        })
    }
}
