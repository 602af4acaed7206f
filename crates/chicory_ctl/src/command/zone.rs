//! The `zone` commands, which show or evict an availability zone.

use chicory_types::EditId;
use chicory_wire::proto::operator::operator_answer::Answer;
use chicory_wire::proto::operator::operator_request::Request;
use chicory_wire::proto::operator::{EvictZoneRequest, ServerStatus, ZoneDetailRequest};
use serde_json::{Value, json};
use snafu::IntoError;
use uuid::Uuid;

use crate::client::{ClientError, ControlClient};
use crate::ctl_error::{NotConfirmedSnafu, OutcomeUnknownSnafu};
use crate::report::align_columns;
use crate::{CtlError, Report};

/// Returns the backend servers of the zone whose control process answers.
///
/// # Errors
///
/// Returns a [`CtlError`] if no control process answers.
pub async fn show_zone(client: &dyn ControlClient) -> Result<Report, CtlError> {
    let request = Request::ZoneDetail(ZoneDetailRequest {});
    let Answer::ZoneDetail(detail) = client.send(request).await? else {
        return Err(ClientError::UnexpectedAnswer.into());
    };
    let headings = [
        "server",
        "service",
        "address",
        "dispatcher",
        "owned slots",
        "releasing",
        "draining",
    ];
    let headings = headings.map(ToOwned::to_owned).to_vec();
    let rows = detail.servers.iter().map(row);
    let rows: Vec<Vec<String>> = std::iter::once(headings).chain(rows).collect();
    Ok(Report {
        text: format!(
            "zone {}, revision {}\n{}",
            detail.zone,
            detail.revision_in_force,
            align_columns(&rows)
        ),
        json: json!({
            "zone": detail.zone,
            "revision_in_force": detail.revision_in_force,
            "servers": detail.servers.iter().map(server_json).collect::<Vec<Value>>(),
        }),
    })
}

/// Ends a zone's custody of all its slots, so that other zones can take them over.
///
/// # Errors
///
/// Returns [`CtlError::NotConfirmed`] unless `is_confirmed`, [`CtlError::OutcomeUnknown`] if no
/// control process answered but the eviction may have been carried out, and other errors if no
/// control process could be reached or one refused the request. After
/// [`ClientError::UnexpectedAnswer`] the eviction may have been carried out too.
pub async fn evict_zone(
    client: &dyn ControlClient,
    zone: &str,
    edit_id: Option<EditId>,
    is_confirmed: bool,
) -> Result<Report, CtlError> {
    if !is_confirmed {
        return NotConfirmedSnafu { zone }.fail();
    }
    let edit_id = edit_id.unwrap_or_else(|| Uuid::new_v4().to_string());
    let request = Request::EvictZone(EvictZoneRequest {
        zone: zone.to_owned(),
        edit_id: edit_id.clone(),
    });
    let answer = client.send(request).await.map_err(|error| match error {
        ClientError::NoAnswer {
            may_have_arrived: true,
            ..
        } => OutcomeUnknownSnafu {
            edit_id: edit_id.clone(),
            base_revision: 0_u64,
        }
        .into_error(error),
        error => error.into(),
    })?;
    let Answer::EvictZone(evicted) = answer else {
        return Err(ClientError::UnexpectedAnswer.into());
    };
    Ok(Report {
        text: format!("zone {zone} evicted, {} slots moved\n", evicted.moved_slots),
        json: json!({"zone": zone, "moved_slots": evicted.moved_slots, "edit_id": edit_id}),
    })
}

fn row(server: &ServerStatus) -> Vec<String> {
    let record = server.record.clone().unwrap_or_default();
    vec![
        record.server,
        record.service,
        record.address,
        server.dispatcher.clone().unwrap_or("-".to_owned()),
        server.owned_slots.to_string(),
        server.releasing_slots.to_string(),
        if record.draining { "yes" } else { "no" }.to_owned(),
    ]
}

fn server_json(server: &ServerStatus) -> Value {
    let record = server.record.clone().unwrap_or_default();
    json!({
        "server": record.server,
        "service": record.service,
        "address": record.address,
        "zone": record.zone,
        "slots": record.slots,
        "connections": record.connections,
        "incarnation": record.incarnation,
        "checks_grants": record.checks_grants,
        "draining": record.draining,
        "dispatcher": server.dispatcher,
        "owned_slots": server.owned_slots,
        "releasing_slots": server.releasing_slots,
    })
}
