//! Conversions of calls.

use chicory_wire::ConvertError;
use chicory_wire::proto::operator::operator_request::Request;
use chicory_wire::proto::peer::Call;
use chicory_wire::proto::peer::call::Call as Content;

use crate::{ControlCall, OperatorCall};

const MISSING_CALL: ConvertError = ConvertError::Missing { field: "call.call" };
const MISSING_REQUEST: ConvertError = ConvertError::Missing {
    field: "operator_request.request",
};
const MISSING_CLAIMANT: ConvertError = ConvertError::Missing {
    field: "resolve_claim_request.claimant",
};
const MISSING_RESOLUTION: ConvertError = ConvertError::Missing {
    field: "resolve_claim_request.resolution",
};

/// Converts a message to a call.
///
/// # Errors
///
/// Returns [`ConvertError`] if the message is incomplete or a value is out of range.
pub fn call_from_message(message: Call) -> Result<ControlCall, ConvertError> {
    Ok(match message.call.ok_or(MISSING_CALL)? {
        Content::Renew(request) => ControlCall::Renew(request.try_into()?),
        Content::Claim(request) => ControlCall::Claim(request.try_into()?),
        Content::ResolveClaim(request) => ControlCall::ResolveClaim {
            service: request.service,
            order_key: request.order_key,
            claimant: request.claimant.ok_or(MISSING_CLAIMANT)?.into(),
            resolution: request.resolution.ok_or(MISSING_RESOLUTION)?.try_into()?,
        },
        Content::CrashReport(report) => ControlCall::ReportCrash {
            server: report.server,
            fingerprints: report.fingerprints,
            was_alone: report.was_alone,
        },
        Content::Operator(request) => {
            ControlCall::Operator(operator_call(request.request.ok_or(MISSING_REQUEST)?)?)
        }
        Content::ZoneSync(request) => ControlCall::ZoneSync(request.try_into()?),
        Content::Formation(request) => ControlCall::AskFormation(request.try_into()?),
    })
}

fn operator_call(request: Request) -> Result<OperatorCall, ConvertError> {
    Ok(match request {
        Request::TableGet(_) => OperatorCall::GetTable,
        Request::TableEdit(edit) => OperatorCall::EditTable {
            edit_id: edit.edit_id,
            base_revision: edit.base_revision,
            changes: edit
                .changes
                .into_iter()
                .map(TryInto::try_into)
                .collect::<Result<_, ConvertError>>()?,
        },
        Request::Status(_) => OperatorCall::GetStatus,
        Request::ZoneDetail(_) => OperatorCall::GetZone,
        Request::Owner(request) => OperatorCall::GetOwner {
            service: request.service,
            key: request.key,
        },
        Request::EvictZone(request) => OperatorCall::EvictZone {
            zone: request.zone,
            edit_id: request.edit_id,
        },
        Request::Audit(request) => OperatorCall::GetAudit {
            operator: request.operator,
            from_sequence: request.from_sequence,
            limit: request.limit,
        },
    })
}
