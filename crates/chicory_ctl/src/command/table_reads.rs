//! The `table` commands that read the table.

use std::path::Path;

use chicory_table::{Table, TableContent, to_csv};
use chicory_types::Revision;
use chicory_wire::proto::operator::TableGetRequest;
use chicory_wire::proto::operator::operator_answer::Answer;
use chicory_wire::proto::operator::operator_request::Request;
use serde_json::{Value, json};
use snafu::ResultExt;

use super::table_text::csv_cells;
use crate::client::{ClientError, ControlClient};
use crate::ctl_error::FileSnafu;
use crate::report::align_columns;
use crate::{CtlError, Report};

/// Reads the current table and its revision.
///
/// # Errors
///
/// Returns a [`CtlError`] if no control process answers.
pub async fn read_table(client: &dyn ControlClient) -> Result<(Revision, TableContent), CtlError> {
    let answer = client.send(Request::TableGet(TableGetRequest {})).await?;
    let Answer::TableGet(answer) = answer else {
        return Err(ClientError::UnexpectedAnswer.into());
    };
    let table = answer.table.ok_or(ClientError::UnexpectedAnswer)?;
    let table = Table::try_from(table)?;
    let content = TableContent {
        services: table.services,
        overrides: table.overrides,
    };
    Ok((table.revision, content))
}

/// Returns the table and its revision as a report.
///
/// # Errors
///
/// Returns a [`CtlError`] if no control process answers.
pub async fn get_table(client: &dyn ControlClient) -> Result<Report, CtlError> {
    let (revision, content) = read_table(client).await?;
    let rows = csv_cells(&to_csv(&content));
    Ok(Report {
        text: format!("revision {revision}\n{}", align_columns(&rows)),
        json: json!({"revision": revision, "rows": rows_json(&rows)}),
    })
}

/// Writes the table as CSV to `file`, or returns the CSV in the report if no file is given.
///
/// # Errors
///
/// Returns a [`CtlError`] if no control process answers or the file can't be written.
pub async fn export_table(
    client: &dyn ControlClient,
    file: Option<&Path>,
) -> Result<Report, CtlError> {
    let (revision, content) = read_table(client).await?;
    let csv = to_csv(&content);
    let Some(path) = file else {
        let json = json!({"revision": revision, "csv": csv});
        return Ok(Report { text: csv, json });
    };
    std::fs::write(path, csv).context(FileSnafu { path })?;
    Ok(Report {
        text: format!("revision {revision} written to {}\n", path.display()),
        json: json!({"revision": revision, "file": path}),
    })
}

fn rows_json(rows: &[Vec<String>]) -> Value {
    let Some((headings, rows)) = rows.split_first() else {
        return json!([]);
    };
    let row_json = |row: &Vec<String>| -> Value {
        let cells = headings
            .iter()
            .cloned()
            .zip(row.iter().cloned().map(Value::from));
        Value::Object(cells.collect())
    };
    rows.iter().map(row_json).collect()
}
