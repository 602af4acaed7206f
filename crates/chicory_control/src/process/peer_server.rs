//! Serves the streams that other processes open.

use std::sync::Arc;

use chicory_consensus::PeerMessage;
use chicory_net::peer::{
    CallStream, IncomingConnection, MessageReceiver, PeerIdentity, PeerStream,
};
use chicory_net::tls::PeerRole;
use chicory_telemetry::Metrics;
use chicory_wire::proto::consensus;
use chicory_wire::proto::peer::reply::Reply as ReplyContent;
use chicory_wire::proto::peer::{Call, CallError, Reply};
use tokio::sync::{mpsc, oneshot};

use super::control_metric::ControlMetric;
use super::shell_event::ShellEvent;
use crate::{Caller, ControlReply, call_from_message, reply_message};

/// Data that the task of each stream needs.
#[derive(Clone)]
struct Context {
    identity: PeerIdentity,
    events: mpsc::Sender<ShellEvent>,
    metrics: Arc<Metrics>,
}

/// Serves all connections of other processes.
pub async fn serve(
    mut incoming: mpsc::Receiver<IncomingConnection>,
    events: mpsc::Sender<ShellEvent>,
    metrics: Arc<Metrics>,
) {
    while let Some(IncomingConnection {
        identity,
        connection,
    }) = incoming.recv().await
    {
        let context = Context {
            identity,
            events: events.clone(),
            metrics: metrics.clone(),
        };
        tokio::spawn(async move {
            while let Ok(stream) = connection.accept().await {
                serve_stream(context.clone(), stream);
            }
        });
    }
}

fn serve_stream(context: Context, stream: PeerStream) {
    match stream {
        PeerStream::Call(call) => {
            tokio::spawn(serve_call(context, call));
        }
        PeerStream::Messages(messages) => {
            tokio::spawn(serve_messages(context, messages));
        }
        // Control processes don't serve requests of callers.
        PeerStream::Relay(_) => {}
    }
}

async fn serve_call(context: Context, mut stream: CallStream) {
    context.metrics.increment(ControlMetric::Calls);
    let request = match stream.read::<Call>().await {
        Ok(call) => call_from_message(call).ok(),
        Err(_) => None,
    };
    let reply = if let Some(request) = request {
        forward_to_reducer(&context, request).await
    } else {
        context.metrics.increment(ControlMetric::MalformedCalls);
        Some(malformed_reply())
    };
    if let Some(reply) = reply {
        // The caller may have disconnected; it will send the call again.
        let _ = stream.reply(&reply).await;
    }
}

async fn forward_to_reducer(context: &Context, request: crate::ControlCall) -> Option<Reply> {
    let (reply, answered) = oneshot::channel();
    let event = ShellEvent::Call {
        from: caller_from_identity(&context.identity),
        request,
        reply,
    };
    context.events.send(event).await.ok()?;
    let reply = answered.await.ok()?;
    if reply == ControlReply::NotAllowed {
        context.metrics.increment(ControlMetric::RefusedCalls);
    }
    Some(reply_message(reply))
}

fn malformed_reply() -> Reply {
    Reply {
        reply: Some(ReplyContent::Error(CallError::Malformed.into())),
    }
}

fn caller_from_identity(identity: &PeerIdentity) -> Caller {
    let name = identity.subject.name.clone();
    match identity.subject.role {
        PeerRole::Entry => Caller::Entry(name),
        PeerRole::Control => Caller::Control(name),
        PeerRole::Operator => Caller::Operator(name),
    }
}

async fn serve_messages(context: Context, mut messages: MessageReceiver) {
    while let Ok(message) = messages.next::<consensus::PeerMessage>().await {
        match event_from_message(&context.identity, message) {
            Some(event) => {
                context
                    .metrics
                    .increment(ControlMetric::MemberMessagesReceived);
                if context.events.send(event).await.is_err() {
                    return;
                }
            }
            None => context
                .metrics
                .increment(ControlMetric::MemberMessagesRefused),
        }
    }
}

/// Returns the event of a message, or `None` if the message is malformed or its sender doesn't
/// match the certificate.
fn event_from_message(
    identity: &PeerIdentity,
    message: consensus::PeerMessage,
) -> Option<ShellEvent> {
    let group = consensus::GroupName::try_from(message.group).ok()?;
    let message = PeerMessage::try_from(message).ok()?;
    let is_member = identity.subject.role == PeerRole::Control;
    let is_sender_authentic = identity.subject.name == message.from.vm;
    (is_member && is_sender_authentic).then(|| ShellEvent::Message {
        group: group.into(),
        from: message.from.clone(),
        message,
    })
}
