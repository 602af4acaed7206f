//! Serves the link of an operator.

use chicory_directory::{SiteAnswer, SiteCall};
use chicory_link::{Frame, LinkError, LinkStream};
use chicory_types::OperatorName;
use chicory_wire::proto::site;
use slog::info;

use super::SiteHandle;
use super::link_listener::LinkServer;

/// Answers an operator's calls about the route table and evacuations, one after the other, until the link ends.
pub(super) async fn serve(
    server: LinkServer,
    (mut reader, mut writer): LinkStream,
    operator: OperatorName,
) {
    let handle = SiteHandle::new(server.inbox.clone());
    while let Ok(Some(frame)) = reader.next().await {
        let call = match decode(frame) {
            Ok(call) => call,
            Err(failure) => return server.on_undecodable(&failure),
        };
        let (description, answer) = match call {
            SiteCall::PutRoutes(table) => {
                let version = table.version;
                let answer = match handle.put_routes(table).await {
                    Ok(answer) => answer,
                    Err(fault) => SiteAnswer::Invalid(fault.to_string()),
                };
                (format!("put routes {version}"), answer)
            }
            SiteCall::ReadRoutes => ("read routes".to_owned(), handle.read_routes().await),
            SiteCall::BeginEvacuation(zone) => {
                let answer = handle.begin_evacuation(zone.clone()).await;
                (format!("begin evacuation of {zone}"), answer)
            }
            SiteCall::FinishEvacuation(zone) => {
                let answer = handle.finish_evacuation(zone.clone()).await;
                (format!("finish evacuation of {zone}"), answer)
            }
            SiteCall::ReadEvacuations => {
                let answer = handle.read_evacuations().await;
                ("read evacuations".to_owned(), answer)
            }
            // Backend servers have an interface of their own.
            SiteCall::Announce(_) | SiteCall::Leave { .. } => return,
        };
        info!(server.logger, "operator's call"; "operator" => &operator, "call" => description,
            "outcome" => outcome(&answer));
        writer.put(&site::SiteAnswer::from(answer));
        if writer.flush().await.is_err() {
            return;
        }
    }
}

fn decode(frame: Frame) -> Result<SiteCall, LinkError> {
    let message: site::SiteCall = frame.decode()?;
    SiteCall::try_from(message).map_err(|_| LinkError::InvalidMessage)
}

fn outcome(answer: &SiteAnswer) -> &'static str {
    match answer {
        SiteAnswer::Done => "done",
        SiteAnswer::Routes(_) | SiteAnswer::EvacuatedZones(_) => "told",
        SiteAnswer::Invalid(_) => "invalid",
        SiteAnswer::Unavailable => "unavailable",
        SiteAnswer::Stale | SiteAnswer::UnknownService | SiteAnswer::UnknownZone => "refused",
    }
}
