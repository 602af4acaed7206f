//! A stream that the other end opened.

use std::sync::Arc;

use chicory_telemetry::Metrics;
use quinn::{RecvStream, SendStream};

use crate::peer::{CallStream, MessageReceiver, PeerError, RelayStream, StreamKind};

/// A stream that the other end opened.
#[derive(Debug)]
pub enum PeerStream {
    /// One call, which expects a reply.
    Call(CallStream),
    /// Messages in order, without replies.
    Messages(MessageReceiver),
    /// One relayed request.
    Relay(RelayStream),
}

impl PeerStream {
    pub(crate) fn new(
        kind: StreamKind,
        writer: Option<SendStream>,
        reader: RecvStream,
        metrics: Arc<Metrics>,
    ) -> Result<Self, PeerError> {
        match (kind, writer) {
            (StreamKind::Call, Some(writer)) => {
                Ok(Self::Call(CallStream::new(writer, reader, metrics)))
            }
            (StreamKind::Relay, Some(writer)) => {
                Ok(Self::Relay(RelayStream::accept(writer, reader)))
            }
            (StreamKind::Messages, None) => {
                Ok(Self::Messages(MessageReceiver::new(reader, metrics)))
            }
            _ => Err(PeerError::UnexpectedStream),
        }
    }
}
