//! Accepts links of control VMs, entry VMs and operators.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use chicory_directory::{LinkHello, PeerEnvelope};
use chicory_link::{Frame, LinkError, LinkStream, ReadEvent, split};
use chicory_telemetry::Metrics;
use chicory_types::VmId;
use chicory_wire::proto::site;
use slog::{Logger, warn};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc::UnboundedSender;
use tokio::time::Instant;

use super::SiteMetric;
use super::entry_server;
use super::operator_server;
use super::site_input::SiteInput;
use crate::SiteEvent;

/// Time limit for the hello on a new link, which says who opened it.
const HELLO_TIMEOUT: Duration = Duration::from_secs(2);
/// Shortest time between keep-alives on a link that is otherwise only read.
const KEEP_ALIVE_INTERVAL: Duration = Duration::from_millis(300);
/// Time without any received byte after which a link is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(3);

/// Accepts links until the process ends.
pub(super) struct LinkListener {
    pub(super) listener: TcpListener,
    pub(super) inbox: UnboundedSender<SiteInput>,
    pub(super) logger: Logger,
    pub(super) metrics: Arc<Metrics>,
}

impl LinkListener {
    pub(super) async fn run(self) {
        let links = Arc::new(AtomicU64::new(0));
        loop {
            match self.listener.accept().await {
                Ok((stream, _)) => {
                    let link = LinkServer {
                        inbox: self.inbox.clone(),
                        logger: self.logger.clone(),
                        metrics: self.metrics.clone(),
                        id: links.fetch_add(1, Ordering::Relaxed) + 1,
                    };
                    tokio::spawn(link.serve(stream));
                }
                Err(failure) => {
                    warn!(self.logger, "link could not be accepted"; "error" => %failure);
                    tokio::time::sleep(KEEP_ALIVE_INTERVAL).await;
                }
            }
        }
    }
}

/// One accepted link.
pub(super) struct LinkServer {
    pub(super) inbox: UnboundedSender<SiteInput>,
    pub(super) logger: Logger,
    pub(super) metrics: Arc<Metrics>,
    pub(super) id: u64,
}

impl LinkServer {
    async fn serve(self, stream: TcpStream) {
        let Ok(mut link) = split(stream) else { return };
        match tokio::time::timeout(HELLO_TIMEOUT, read_hello(&mut link)).await {
            Ok(Ok(Some(LinkHello::Control { vm, zone }))) => {
                if let Some(zone) = zone {
                    let vm = vm.clone();
                    let event = SiteEvent::PeerConnected { vm, zone };
                    // If the event loop has ended, the process is ending too.
                    drop(self.inbox.send(SiteInput::Event(event)));
                }
                self.serve_control(link, vm).await;
            }
            Ok(Ok(Some(LinkHello::Operator { operator }))) => {
                operator_server::serve(self, link, operator).await;
            }
            Ok(Ok(Some(hello))) => entry_server::serve(self, link, hello).await,
            Ok(Ok(None)) | Err(_) => {}
            Ok(Err(failure)) => self.on_undecodable(&failure),
        }
    }

    pub(super) fn on_undecodable(&self, failure: &LinkError) {
        if matches!(failure, LinkError::Decode { .. }) {
            self.metrics.increment(SiteMetric::UndecodableFrames);
            warn!(self.logger, "link sent a frame that can't be decoded"; "error" => %failure);
        }
    }

    async fn serve_control(self, (mut reader, mut writer): LinkStream, vm: VmId) {
        let mut last_keep_alive_at = Instant::now() - KEEP_ALIVE_INTERVAL;
        loop {
            let received = tokio::time::timeout(IDLE_TIMEOUT, reader.next_event()).await;
            let handled = match received {
                Ok(Ok(ReadEvent::PartialFrame)) => Ok(()),
                Ok(Ok(ReadEvent::Frame { frame, .. })) => self.handle_envelope(frame, &vm),
                Ok(Ok(ReadEvent::End) | Err(_)) | Err(_) => return,
            };
            if let Err(failure) = handled {
                self.on_undecodable(&failure);
                return;
            }
            if last_keep_alive_at.elapsed() >= KEEP_ALIVE_INTERVAL {
                last_keep_alive_at = Instant::now();
                writer.put_keep_alive();
                if writer.flush().await.is_err() {
                    return;
                }
            }
        }
    }

    fn handle_envelope(&self, frame: Frame, vm: &VmId) -> Result<(), LinkError> {
        let envelope = decode_envelope(frame)?;
        let from = vm.clone();
        let event = SiteEvent::PeerSent { from, envelope };
        let sent = self.inbox.send(SiteInput::Event(event));
        sent.map_err(|_| LinkError::InvalidMessage)
    }
}

async fn read_hello((reader, _): &mut LinkStream) -> Result<Option<LinkHello>, LinkError> {
    let Some(frame) = reader.next().await? else {
        return Ok(None);
    };
    let hello: site::LinkHello = frame.decode()?;
    Ok(LinkHello::try_from(hello).ok())
}

fn decode_envelope(frame: Frame) -> Result<PeerEnvelope, LinkError> {
    let envelope: site::PeerEnvelope = frame.decode()?;
    PeerEnvelope::try_from(envelope).map_err(|_| LinkError::InvalidMessage)
}
