//! The `audit` command, which shows the audit trail.

use chicory_table::{AuditAction, AuditRecord};
use chicory_types::OperatorName;
use chicory_wire::proto::operator::AuditRequest;
use chicory_wire::proto::operator::operator_answer::Answer;
use chicory_wire::proto::operator::operator_request::Request;
use serde_json::{Value, json};

use crate::client::{ClientError, ControlClient};
use crate::report::align_columns;
use crate::{CtlError, Report};

/// The selection of audit records to show.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AuditQuery {
    /// The operator whose records are shown, or `None` for those of all operators.
    pub operator: Option<OperatorName>,
    /// The lowest sequence number to show.
    pub from_sequence: u64,
    /// The maximum number of records.
    pub limit: u32,
}

/// Reads records of the audit trail and returns them as a report.
///
/// # Errors
///
/// Returns a [`CtlError`] if no control process answers.
pub async fn audit(client: &dyn ControlClient, query: AuditQuery) -> Result<Report, CtlError> {
    let request = Request::Audit(AuditRequest {
        operator: query.operator,
        from_sequence: query.from_sequence,
        limit: query.limit,
    });
    let Answer::Audit(answer) = client.send(request).await? else {
        return Err(ClientError::UnexpectedAnswer.into());
    };
    let records = answer.records.into_iter().map(AuditRecord::try_from);
    let records = records.collect::<Result<Vec<AuditRecord>, _>>()?;
    let headings = ["sequence", "at ms", "operator", "action", "revisions"];
    let headings = headings.map(ToOwned::to_owned).to_vec();
    let rows = records.iter().map(row);
    let rows: Vec<Vec<String>> = std::iter::once(headings).chain(rows).collect();
    Ok(Report {
        text: align_columns(&rows),
        json: records.iter().map(record_json).collect(),
    })
}

fn row(record: &AuditRecord) -> Vec<String> {
    vec![
        record.sequence.to_string(),
        record.at_ms.to_string(),
        record.operator.clone(),
        action_text(&record.action),
        format!("{} to {}", record.from_revision, record.to_revision),
    ]
}

fn record_json(record: &AuditRecord) -> Value {
    json!({
        "sequence": record.sequence,
        "at_ms": record.at_ms,
        "operator": record.operator,
        "action": action_text(&record.action),
        "from_revision": record.from_revision,
        "to_revision": record.to_revision,
    })
}

fn action_text(action: &AuditAction) -> String {
    match action {
        AuditAction::TableEdited { services } => format!("edited {}", services.join(", ")),
        AuditAction::EditRefused => "edit refused".to_owned(),
        AuditAction::ZoneEvicted { zone } => format!("evicted zone {zone}"),
        AuditAction::ZoneReformed { zone } => format!("formed the group of zone {zone} anew"),
        AuditAction::CustodyMoveRequested { service, to_zone } => {
            format!("asked to move {service} to zone {to_zone}")
        }
    }
}
