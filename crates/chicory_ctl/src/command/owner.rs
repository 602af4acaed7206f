//! The `owner` command, which shows the owner of a key.

use chicory_wire::proto::operator::OwnerRequest;
use chicory_wire::proto::operator::operator_answer::Answer;
use chicory_wire::proto::operator::operator_request::Request;
use serde_json::json;

use crate::client::{ClientError, ControlClient};
use crate::{CtlError, Report};

/// Returns the owner of a key, as known in the zone of the control process that answers.
///
/// # Errors
///
/// Returns a [`CtlError`] if no control process answers or the service doesn't exist.
pub async fn owner(
    client: &dyn ControlClient,
    service: &str,
    key: &str,
) -> Result<Report, CtlError> {
    let request = Request::Owner(OwnerRequest {
        service: service.to_owned(),
        key: key.to_owned(),
    });
    let Answer::Owner(owner) = client.send(request).await? else {
        return Err(ClientError::UnexpectedAnswer.into());
    };
    let token = owner
        .token
        .map(|token| format!("{}.{}", token.custody_generation, token.counter));
    let or_dash = |value: &Option<String>| value.clone().unwrap_or("-".to_owned());
    Ok(Report {
        text: format!(
            "slot {}\ncustody zone {}\nserver {}\ndispatcher {}\ntoken {}\n",
            owner.slot,
            or_dash(&owner.custody_zone),
            or_dash(&owner.server),
            or_dash(&owner.dispatcher),
            or_dash(&token),
        ),
        json: json!({
            "slot": owner.slot,
            "custody_zone": owner.custody_zone,
            "server": owner.server,
            "dispatcher": owner.dispatcher,
            "token": token,
        }),
    })
}
