//! The receiving end of a stream of messages without replies.

use std::sync::Arc;

use chicory_telemetry::Metrics;
use prost::Message;
use quinn::RecvStream;

use crate::peer::{Frame, FrameError};

/// The receiving end of a stream of messages without replies.
#[derive(Debug)]
pub struct MessageReceiver {
    reader: RecvStream,
    metrics: Arc<Metrics>,
}

impl MessageReceiver {
    pub(crate) fn new(reader: RecvStream, metrics: Arc<Metrics>) -> Self {
        Self { reader, metrics }
    }

    /// Reads the next message; messages are received in the order in which they were sent.
    ///
    /// # Errors
    ///
    /// Returns an error for an invalid frame, which is counted, or if the stream ends. The stream
    /// can't be read after an error; to send again, the sender opens another one.
    pub async fn next<M: Message + Default>(&mut self) -> Result<M, FrameError> {
        let message = Frame::read(&mut self.reader).await;
        if let Some(metric) = message.as_ref().err().and_then(FrameError::metric) {
            self.metrics.increment(metric);
        }
        message
    }
}
