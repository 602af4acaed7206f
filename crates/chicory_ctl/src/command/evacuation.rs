//! The `evacuation` commands, which evacuate availability zones of a site and list them.

use std::collections::BTreeSet;

use chicory_directory::{SiteAnswer, SiteCall};
use chicory_types::ZoneName;
use serde_json::json;

use crate::client::SiteClient;
use crate::ctl_error::{EvacuationRejectedSnafu, NoSuchZoneSnafu};
use crate::{CtlError, Report};

/// Orders that nothing more be sent to the servers of a zone. Giving the same order again changes
/// nothing.
///
/// # Errors
///
/// Returns a [`CtlError`] if the site has no such zone or no control VM answers.
pub async fn begin_evacuation(client: &SiteClient, zone: &str) -> Result<Report, CtlError> {
    let call = SiteCall::BeginEvacuation(zone.to_owned());
    let answer = client.call(&call).await?;
    acknowledge(&answer, zone, "the evacuation was acknowledged")
}

/// Ends the evacuation of a zone. Giving the same order again changes nothing.
///
/// # Errors
///
/// Returns a [`CtlError`] if the site has no such zone or no control VM answers.
pub async fn finish_evacuation(client: &SiteClient, zone: &str) -> Result<Report, CtlError> {
    let call = SiteCall::FinishEvacuation(zone.to_owned());
    let answer = client.call(&call).await?;
    acknowledge(&answer, zone, "the end of the evacuation was acknowledged")
}

/// Returns the zones that are evacuated, one a line.
///
/// # Errors
///
/// Returns a [`CtlError`] if no control VM answers.
pub async fn list_evacuations(client: &SiteClient) -> Result<Report, CtlError> {
    match client.call(&SiteCall::ReadEvacuations).await? {
        SiteAnswer::EvacuatedZones(zones) => Ok(list(&zones)),
        other => unexpected_answer(&other),
    }
}

fn list(zones: &BTreeSet<ZoneName>) -> Report {
    let names: Vec<&str> = zones.iter().map(String::as_str).collect();
    let text = if names.is_empty() {
        "no zone is evacuated".to_owned()
    } else {
        names.join("\n")
    };
    Report {
        text,
        json: json!({"evacuated_zones": names}),
    }
}

fn acknowledge(answer: &SiteAnswer, zone: &str, outcome: &str) -> Result<Report, CtlError> {
    match answer {
        SiteAnswer::Done => Ok(Report {
            text: format!("zone {zone}: {outcome}"),
            json: json!({"zone": zone}),
        }),
        SiteAnswer::UnknownZone => NoSuchZoneSnafu { zone }.fail(),
        other => unexpected_answer(other),
    }
}

fn unexpected_answer(answer: &SiteAnswer) -> Result<Report, CtlError> {
    let fault = format!("unexpected answer {answer:?}");
    EvacuationRejectedSnafu { fault }.fail()
}
