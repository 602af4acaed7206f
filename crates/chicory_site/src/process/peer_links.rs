//! Connections to other control VMs.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use chicory_directory::{LinkHello, PeerEnvelope};
use chicory_link::{Backoff, LinkStream, dial};
use chicory_telemetry::Metrics;
use chicory_types::{VmId, ZoneName};
use chicory_wire::proto::site;
use slog::{Logger, info, warn};
use tokio::sync::mpsc;
use tokio::time::Instant;

use super::SiteMetric;

/// Messages that may be queued for one peer. Further ones are dropped, and the replicated log sends
/// them again.
const OUTBOX_MESSAGES: usize = 1024;
/// Time without an answer, or without use, after which a connection is closed.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(1);

/// Connections to other control VMs, opened when there is a message to send.
pub(super) struct PeerLinks {
    own_vm: VmId,
    own_zone: ZoneName,
    outboxes: BTreeMap<VmId, mpsc::Sender<PeerEnvelope>>,
    logger: Logger,
    metrics: Arc<Metrics>,
}

impl PeerLinks {
    pub(super) fn new(
        own_vm: VmId,
        own_zone: ZoneName,
        logger: Logger,
        metrics: Arc<Metrics>,
    ) -> Self {
        Self {
            own_vm,
            own_zone,
            outboxes: BTreeMap::new(),
            logger,
            metrics,
        }
    }

    /// Sends a message, or drops it if too many are queued.
    pub(super) fn send(&mut self, to: &VmId, envelope: PeerEnvelope) {
        let Ok(address) = to.parse::<SocketAddr>() else {
            warn!(self.logger, "peer id is not an address"; "peer" => to);
            return;
        };
        let outbox = self.outboxes.entry(to.clone()).or_insert_with(|| {
            let (sender, messages) = mpsc::channel(OUTBOX_MESSAGES);
            let link = PeerLink {
                own_vm: self.own_vm.clone(),
                own_zone: self.own_zone.clone(),
                peer: to.clone(),
                address,
                messages,
                logger: self.logger.clone(),
                metrics: self.metrics.clone(),
            };
            tokio::spawn(link.run());
            sender
        });
        if outbox.try_send(envelope).is_err() {
            self.metrics.increment(SiteMetric::PeerMessagesDropped);
        }
    }
}

/// The connection to one other control VM.
struct PeerLink {
    own_vm: VmId,
    own_zone: ZoneName,
    peer: VmId,
    address: SocketAddr,
    messages: mpsc::Receiver<PeerEnvelope>,
    logger: Logger,
    metrics: Arc<Metrics>,
}

impl PeerLink {
    async fn run(mut self) {
        let mut backoff = Backoff::default();
        let mut is_lost = false;
        while let Some(first) = self.messages.recv().await {
            match dial(self.address).await {
                Ok(stream) => {
                    if is_lost {
                        info!(self.logger, "link to control VM re-established";
                            "peer" => &self.peer);
                        is_lost = false;
                    }
                    backoff.reset();
                    self.exchange_messages(stream, first).await;
                    self.metrics.increment(SiteMetric::PeerLinksLost);
                }
                Err(failure) => {
                    if !is_lost {
                        warn!(self.logger, "link to control VM lost"; "peer" => &self.peer,
                            "error" => %failure);
                        is_lost = true;
                    }
                    tokio::time::sleep(backoff.next_pause()).await;
                    self.drop_queued_messages();
                }
            }
        }
    }

    /// Drops messages that were queued while the peer was unreachable: they are out of date.
    fn drop_queued_messages(&mut self) {
        while self.messages.try_recv().is_ok() {
            self.metrics.increment(SiteMetric::PeerMessagesDropped);
        }
    }

    /// Sends messages until the connection breaks, the peer does not answer, or the
    /// connection was idle.
    async fn exchange_messages(
        &mut self,
        (mut reader, mut writer): LinkStream,
        first: PeerEnvelope,
    ) {
        let hello = LinkHello::Control {
            vm: self.own_vm.clone(),
            zone: Some(self.own_zone.clone()),
        };
        writer.put(&site::LinkHello::from(hello));
        writer.put(&site::PeerEnvelope::from(first));
        if writer.flush().await.is_err() {
            return;
        }
        let mut last_contact_at = Instant::now();
        let mut unanswered_since = Some(last_contact_at);
        loop {
            let times_out_at = unanswered_since.unwrap_or(last_contact_at) + RESPONSE_TIMEOUT;
            tokio::select! {
                message = self.messages.recv() => {
                    let Some(message) = message else { return };
                    writer.put(&site::PeerEnvelope::from(message));
                    while let Ok(next) = self.messages.try_recv() {
                        writer.put(&site::PeerEnvelope::from(next));
                    }
                    unanswered_since.get_or_insert_with(Instant::now);
                    if writer.flush().await.is_err() {
                        return;
                    }
                }
                frame = reader.next() => {
                    let Ok(Some(_)) = frame else { return };
                    last_contact_at = Instant::now();
                    unanswered_since = None;
                }
                () = tokio::time::sleep_until(times_out_at) => return,
            }
        }
    }
}
