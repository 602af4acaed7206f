//! The answering end of a call.

use std::sync::Arc;

use chicory_telemetry::Metrics;
use prost::Message;
use quinn::{RecvStream, SendStream};

use crate::peer::{Frame, FrameError};

/// The answering end of a call; dropped without a reply, the call fails.
#[derive(Debug)]
pub struct CallStream {
    writer: SendStream,
    reader: RecvStream,
    metrics: Arc<Metrics>,
}

impl CallStream {
    pub(crate) fn new(writer: SendStream, reader: RecvStream, metrics: Arc<Metrics>) -> Self {
        Self {
            writer,
            reader,
            metrics,
        }
    }

    /// Reads the request.
    ///
    /// # Errors
    ///
    /// Fails for a wrong or malformed frame, which is counted, and where the stream breaks.
    pub async fn read<M: Message + Default>(&mut self) -> Result<M, FrameError> {
        let request = Frame::read(&mut self.reader).await;
        if let Some(metric) = request.as_ref().err().and_then(FrameError::metric) {
            self.metrics.increment(metric);
        }
        request
    }

    /// Replies.
    ///
    /// # Errors
    ///
    /// Fails where the other end no longer waits.
    pub async fn reply(mut self, reply: &impl Message) -> Result<(), FrameError> {
        Frame::write(&mut self.writer, reply).await?;
        let _ = self.writer.finish();
        Ok(())
    }
}
