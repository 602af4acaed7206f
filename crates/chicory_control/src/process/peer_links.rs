//! Sends messages and calls to other control processes.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use chicory_consensus::PeerMessage;
use chicory_net::peer::{MessageSender, PeerEndpoint};
use chicory_ownership::{ZoneSyncAnswer, ZoneSyncRequest};
use chicory_telemetry::Metrics;
use chicory_types::{MonoTime, VmId};
use chicory_wire::peer_message;
use chicory_wire::proto::peer::call::Call as CallContent;
use chicory_wire::proto::peer::reply::Reply as ReplyContent;
use chicory_wire::proto::peer::{Call, Reply};
use tokio::sync::mpsc;

use super::control_metric::ControlMetric;
use super::shell_event::ShellEvent;
use crate::{
    ControlEvent, FormationRequest, GroupName, formation_answer_from_message,
    formation_request_message,
};

/// Maximum number of messages that wait for one member.
const MESSAGE_QUEUE_CAPACITY: usize = 1_024;
/// Timeout of a call to another control process.
const CALL_TIMEOUT: Duration = Duration::from_millis(800);

/// Sends messages and calls to other control processes.
pub struct PeerLinks {
    endpoint: PeerEndpoint,
    addresses: BTreeMap<VmId, SocketAddr>,
    senders: BTreeMap<VmId, MessageSender>,
    events: mpsc::Sender<ShellEvent>,
    metrics: Arc<Metrics>,
}

impl PeerLinks {
    /// Creates the links. Answers to calls are sent to `events`.
    #[must_use]
    pub fn new(
        endpoint: PeerEndpoint,
        addresses: BTreeMap<VmId, SocketAddr>,
        events: mpsc::Sender<ShellEvent>,
        metrics: Arc<Metrics>,
    ) -> Self {
        Self {
            endpoint,
            addresses,
            senders: BTreeMap::new(),
            events,
            metrics,
        }
    }

    /// Sends a message to a member; it may be lost.
    pub fn send(&mut self, group: GroupName, to: &VmId, message: PeerMessage) {
        let Some(address) = self.addresses.get(to) else {
            return;
        };
        let sender = self.senders.entry(to.clone()).or_insert_with(|| {
            MessageSender::new(
                self.endpoint.clone(),
                *address,
                MESSAGE_QUEUE_CAPACITY,
                self.metrics.clone(),
            )
        });
        // A message that is too long for a frame is counted as refused. Batches are bounded, so no
        // such message should exist.
        let metric = match sender.send(&peer_message(group.into(), message)) {
            Ok(()) => ControlMetric::MemberMessagesSent,
            Err(_) => ControlMetric::MemberMessagesRefused,
        };
        self.metrics.increment(metric);
    }

    /// Sends this zone's sync request to a member of the global group.
    pub fn sync_zone(&self, sent_at: MonoTime, to: VmId, request: ZoneSyncRequest) {
        let call = Call {
            call: Some(CallContent::ZoneSync(request.into())),
        };
        let metrics = self.metrics.clone();
        self.call(&to.clone(), call, move |reply| {
            let answer = reply.and_then(sync_answer);
            if answer.is_none() {
                metrics.increment(ControlMetric::FailedSyncs);
            }
            answer.map_or(ControlEvent::ZoneSyncFailed, |answer| {
                ControlEvent::ZoneSyncAnswered {
                    sent_at,
                    from: to,
                    answer,
                }
            })
        });
    }

    /// Sends a formation request to another process.
    pub fn ask_formation(&self, to: &VmId, request: FormationRequest) {
        let group = request.asked_group;
        let call = Call {
            call: Some(CallContent::Formation(formation_request_message(request))),
        };
        self.call(to, call, move |reply| match reply {
            Some(ReplyContent::Formation(answer)) => formation_answer_from_message(answer)
                .map_or(ControlEvent::FormationFailed, |answer| {
                    ControlEvent::FormationAnswered { group, answer }
                }),
            _ => ControlEvent::FormationFailed,
        });
    }

    fn call(
        &self,
        to: &VmId,
        call: Call,
        to_event: impl FnOnce(Option<ReplyContent>) -> ControlEvent + Send + 'static,
    ) {
        let endpoint = self.endpoint.clone();
        let address = self.addresses.get(to).copied();
        let events = self.events.clone();
        tokio::spawn(async move {
            let reply = match address {
                Some(address) => call_address(&endpoint, address, &call).await,
                None => None,
            };
            // Sending fails only if the event loop, and with it the process, has ended.
            let _ = events.send(ShellEvent::Completed(to_event(reply))).await;
        });
    }
}

async fn call_address(
    endpoint: &PeerEndpoint,
    address: SocketAddr,
    call: &Call,
) -> Option<ReplyContent> {
    let connection = endpoint.connect(address).await.ok()?;
    let reply: Reply = connection.call(call, CALL_TIMEOUT).await.ok()?;
    reply.reply
}

fn sync_answer(content: ReplyContent) -> Option<ZoneSyncAnswer> {
    match content {
        ReplyContent::ZoneSync(answer) => answer.try_into().ok(),
        _ => None,
    }
}
