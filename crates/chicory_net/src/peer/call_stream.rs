//! The receiving end of a call.

use std::sync::Arc;

use chicory_telemetry::Metrics;
use prost::Message;
use quinn::{RecvStream, SendStream};

use crate::peer::{Frame, FrameError};

/// The receiving end of a call; the call fails if it is dropped without a reply.
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
    /// Returns an error for an invalid frame, which is counted, or if the stream fails.
    pub async fn read<M: Message + Default>(&mut self) -> Result<M, FrameError> {
        let request = Frame::read(&mut self.reader).await;
        if let Some(metric) = request.as_ref().err().and_then(FrameError::metric) {
            self.metrics.increment(metric);
        }
        request
    }

    /// Sends the reply and closes the stream.
    ///
    /// # Errors
    ///
    /// Returns an error if the other end no longer waits for the reply.
    pub async fn reply(mut self, reply: &impl Message) -> Result<(), FrameError> {
        Frame::write(&mut self.writer, reply).await?;
        let _ = self.writer.finish();
        Ok(())
    }
}
