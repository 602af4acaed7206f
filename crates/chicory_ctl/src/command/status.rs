//! The `table status` command, and the wait until a revision is in force in every zone.

use std::time::Duration;

use chicory_types::Revision;
use chicory_wire::proto::operator::operator_answer::Answer;
use chicory_wire::proto::operator::operator_request::Request;
use chicory_wire::proto::operator::{StatusAnswer, StatusRequest, ZoneStatus};
use serde_json::{Value, json};
use snafu::ResultExt;
use tokio::time::Instant;

use crate::client::{ClientError, ControlClient};
use crate::ctl_error::{FileSnafu, NotInForceSnafu};
use crate::report::align_columns;
use crate::{CtlError, EditHistory, Report};

/// The pause between two status requests while waiting for zones.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Returns the revision that each availability zone has in force.
///
/// # Errors
///
/// Returns a [`CtlError`] if no control process answers or the history can't be written.
pub async fn status(client: &dyn ControlClient, history: &EditHistory) -> Result<Report, CtlError> {
    let status = fetch_status(client, history).await?;
    let rows = status.zones.iter().map(row);
    let headings = ["zone", "revision", "reachable", "entries", "custody slots"];
    let headings = headings.map(ToOwned::to_owned).to_vec();
    let rows: Vec<Vec<String>> = std::iter::once(headings).chain(rows).collect();
    Ok(Report {
        text: format!("revision {}\n{}", status.revision, align_columns(&rows)),
        json: json!({
            "revision": status.revision,
            "zones": status.zones.iter().map(zone_json).collect::<Vec<Value>>(),
        }),
    })
}

/// Waits until every zone has `revision` in force, and calls `on_progress` with a line of text
/// whenever the state changes.
///
/// A failed status request doesn't end the wait before `timeout`.
///
/// # Errors
///
/// Returns [`CtlError::NotInForce`] if the wait takes longer than `timeout`, or the error of the
/// last status request if that one failed.
pub async fn wait_until_in_force(
    client: &dyn ControlClient,
    history: &EditHistory,
    revision: Revision,
    timeout: Duration,
    on_progress: &mut dyn FnMut(&str),
) -> Result<(), CtlError> {
    let deadline = Instant::now() + timeout;
    let mut last_line = String::new();
    loop {
        let status = fetch_status(client, history).await;
        let line = match &status {
            Ok(status) => progress_line(status, revision),
            Err(error) => format!("waiting: {error}"),
        };
        if line != last_line {
            on_progress(&line);
            last_line = line;
        }
        let zones_behind = status.map(|status| zones_behind(&status, revision));
        match zones_behind {
            Ok(zones) if zones.is_empty() => return Ok(()),
            Ok(zones) if Instant::now() >= deadline => {
                return NotInForceSnafu {
                    revision,
                    zones,
                    timeout,
                }
                .fail();
            }
            Err(error) if Instant::now() >= deadline => return Err(error),
            _ => tokio::time::sleep(POLL_INTERVAL).await,
        }
    }
}

async fn fetch_status(
    client: &dyn ControlClient,
    history: &EditHistory,
) -> Result<StatusAnswer, CtlError> {
    let Answer::Status(status) = client.send(Request::Status(StatusRequest {})).await? else {
        return Err(ClientError::UnexpectedAnswer.into());
    };
    for zone in status.zones.iter().filter(|zone| zone.is_reachable) {
        // A zone whose group was formed again has no table in force, and serves no requests, until
        // it has been in contact with the global group.
        if zone.revision_in_force == 0 {
            continue;
        }
        let recorded = history.revision_seen(&zone.zone, zone.revision_in_force);
        recorded.context(FileSnafu { path: "--history" })?;
    }
    Ok(status)
}

fn zones_behind(status: &StatusAnswer, revision: Revision) -> Vec<String> {
    let is_behind = |zone: &&ZoneStatus| zone.revision_in_force < revision;
    let zones = status.zones.iter().filter(is_behind);
    zones.map(|zone| zone.zone.clone()).collect()
}

fn progress_line(status: &StatusAnswer, revision: Revision) -> String {
    let total = status.zones.len();
    let zones_behind = zones_behind(status, revision);
    let count = total - zones_behind.len();
    if zones_behind.is_empty() {
        return format!("revision {revision} in force in {count} of {total} zones");
    }
    format!(
        "revision {revision} in force in {count} of {total} zones, waiting for {}",
        zones_behind.join(", ")
    )
}

fn row(zone: &ZoneStatus) -> Vec<String> {
    vec![
        zone.zone.clone(),
        zone.revision_in_force.to_string(),
        if zone.is_reachable { "yes" } else { "no" }.to_owned(),
        zone.entries.len().to_string(),
        zone.custody_slots.to_string(),
    ]
}

fn zone_json(zone: &ZoneStatus) -> Value {
    let entry = |entry: &chicory_wire::proto::common::EntryRecord| {
        json!({
            "vm": entry.vm,
            "incarnation": entry.incarnation,
            "peer_address": entry.peer_address,
            "announce_address": entry.announce_address,
        })
    };
    json!({
        "zone": zone.zone,
        "revision_in_force": zone.revision_in_force,
        "is_reachable": zone.is_reachable,
        "entries": zone.entries.iter().map(entry).collect::<Vec<Value>>(),
        "custody_slots": zone.custody_slots,
    })
}
