//! Serves the link of one entry VM.

use std::time::Duration;

use bytes::Bytes;
use chicory_directory::{EntryMessage, LinkHello};
use chicory_link::{Frame, LinkError, LinkStream, ReadEvent, extend_unacknowledged_timeout};
use chicory_wire::proto::site;
use slog::warn;
use tokio::sync::mpsc;

use super::link_listener::LinkServer;
use super::site_input::SiteInput;
use crate::SiteEvent;

/// Messages that may be queued for one entry VM: a status, an update, the moving ranges, the rate
/// limits of servers, the relay peers, the shares of slots and the admission to owners. The reducer
/// creates the next ones after these have been written.
const OUTBOX_MESSAGES: usize = 7;
/// Time without any received byte after which the link is closed: several report intervals.
const IDLE_TIMEOUT: Duration = Duration::from_secs(3);

pub(super) async fn serve(server: LinkServer, link: LinkStream, hello: LinkHello) {
    let LinkHello::Entry {
        vm,
        zone,
        known,
        relay_address,
        cpu_share,
    } = hello
    else {
        return;
    };
    if let Err(failure) = extend_unacknowledged_timeout(&link) {
        warn!(server.logger, "socket options of link could not be set"; "error" => %failure);
        return;
    }
    let id = server.id;
    let (outbox, messages) = mpsc::channel(OUTBOX_MESSAGES);
    let connected = SiteEvent::EntryConnected {
        link: id,
        vm,
        zone,
        known,
        relay_address,
        cpu_share,
    };
    let inputs = [
        SiteInput::EntryLink { link: id, outbox },
        SiteInput::Event(connected),
    ];
    for input in inputs {
        if server.inbox.send(input).is_err() {
            return;
        }
    }
    exchange_messages(&server, link, messages).await;
    let disconnected = SiteEvent::EntryDisconnected { link: id };
    // If the event loop has ended, the process is ending too.
    drop(server.inbox.send(SiteInput::Event(disconnected)));
}

async fn exchange_messages(
    server: &LinkServer,
    (mut reader, mut writer): LinkStream,
    mut messages: mpsc::Receiver<Bytes>,
) {
    loop {
        tokio::select! {
            message = messages.recv() => {
                let Some(message) = message else { return };
                writer.put_encoded(&message);
                while let Ok(next) = messages.try_recv() {
                    writer.put_encoded(&next);
                }
                if writer.flush().await.is_err() {
                    return;
                }
                let ready = SiteEvent::EntryLinkReady { link: server.id };
                if server.inbox.send(SiteInput::Event(ready)).is_err() {
                    return;
                }
            }
            received = tokio::time::timeout(IDLE_TIMEOUT, reader.next_event()) => {
                let frame = match received {
                    Ok(Ok(ReadEvent::PartialFrame)) => continue,
                    Ok(Ok(ReadEvent::Frame { frame, .. })) => frame,
                    Ok(Ok(ReadEvent::End) | Err(_)) | Err(_) => return,
                };
                match decode(frame) {
                    Ok(message) => {
                        let event = SiteEvent::EntrySent { link: server.id, message };
                        if server.inbox.send(SiteInput::Event(event)).is_err() {
                            return;
                        }
                    }
                    Err(failure) => {
                        server.on_undecodable(&failure);
                        return;
                    }
                }
            }
        }
    }
}

fn decode(frame: Frame) -> Result<EntryMessage, LinkError> {
    let message: site::EntryMessage = frame.decode()?;
    EntryMessage::try_from(message).map_err(|_| LinkError::InvalidMessage)
}
