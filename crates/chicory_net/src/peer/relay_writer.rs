//! The sending direction of a relayed request.

use bytes::{BufMut, BytesMut};
use chicory_wire::proto::relay::relay_frame::Frame as Part;
use chicory_wire::proto::relay::{
    BodyChunk, BodyEnd, RelayAnswerHead, RelayFrame, RelayRequestHead,
};
use quinn::{SendStream, VarInt};
use snafu::ResultExt;

use crate::peer::frame_error::WriteSnafu;
use crate::peer::{Frame, FrameError, StreamKind};

/// Error code of a stream that was reset before its end.
const CANCELLED: VarInt = VarInt::from_u32(1);

/// Number of buffered bytes at which they are written to the stream.
const FLUSH_THRESHOLD_BYTES: usize = 16 * 1024;

/// The sending direction of a relayed request.
///
/// Dropping it before [`end`](Self::end) resets the stream, so that the other end never treats a
/// part of a body as the whole.
///
/// Small frames are buffered, so that most requests and answers are sent in one piece. A sender
/// that has to wait for the next part of a body must call [`flush`](Self::flush) first.
#[derive(Debug)]
pub struct RelayWriter {
    stream: SendStream,
    buffered: BytesMut,
    body_bytes: u64,
    has_ended: bool,
}

impl RelayWriter {
    pub(crate) fn new(stream: SendStream) -> Self {
        Self {
            stream,
            buffered: BytesMut::new(),
            body_bytes: 0,
            has_ended: false,
        }
    }

    /// Creates a writer for a stream that this end opened; it sends the stream's kind first.
    pub(crate) fn for_new_stream(stream: SendStream) -> Self {
        let mut writer = Self::new(stream);
        writer.buffered.put_u8(StreamKind::Relay.to_byte());
        writer
    }

    /// Sends the head of the request.
    ///
    /// # Errors
    ///
    /// Returns an error if the stream can't be written.
    pub async fn send_request_head(&mut self, head: RelayRequestHead) -> Result<(), FrameError> {
        self.send(Part::RequestHead(head)).await
    }

    /// Sends the head of the answer.
    ///
    /// # Errors
    ///
    /// Returns an error if the stream can't be written.
    pub async fn send_answer_head(&mut self, head: RelayAnswerHead) -> Result<(), FrameError> {
        self.send(Part::AnswerHead(head)).await
    }

    /// Sends a part of the body; waits if the other end reads more slowly.
    ///
    /// # Errors
    ///
    /// Returns an error if the stream can't be written.
    pub async fn send_chunk(&mut self, data: Vec<u8>) -> Result<(), FrameError> {
        self.body_bytes += data.len() as u64;
        self.send(Part::Chunk(BodyChunk { data })).await
    }

    /// Ends the body and states its length.
    ///
    /// # Errors
    ///
    /// Returns an error if the stream can't be written.
    pub async fn end(&mut self) -> Result<(), FrameError> {
        let total_bytes = self.body_bytes;
        self.send(Part::End(BodyEnd { total_bytes })).await?;
        self.flush().await?;
        self.has_ended = true;
        let _ = self.stream.finish();
        Ok(())
    }

    /// Writes the buffered frames to the stream; waits if the other end reads more slowly.
    ///
    /// # Errors
    ///
    /// Returns an error if the stream can't be written.
    pub async fn flush(&mut self) -> Result<(), FrameError> {
        if self.buffered.is_empty() {
            return Ok(());
        }
        let buffered = self.buffered.split().freeze();
        self.stream.write_chunk(buffered).await.context(WriteSnafu)
    }

    /// Returns a future that completes once the other end has received all data, has cancelled the
    /// stream, or is lost.
    pub fn closed(&self) -> impl Future<Output = ()> + Send + 'static + use<> {
        let stopped = self.stream.stopped();
        async move {
            let _ = stopped.await;
        }
    }

    async fn send(&mut self, part: Part) -> Result<(), FrameError> {
        let frame = RelayFrame { frame: Some(part) };
        Frame::append(&mut self.buffered, &frame)?;
        if self.buffered.len() >= FLUSH_THRESHOLD_BYTES {
            self.flush().await?;
        }
        Ok(())
    }
}

impl Drop for RelayWriter {
    fn drop(&mut self) {
        if !self.has_ended {
            let _ = self.stream.reset(CANCELLED);
        }
    }
}
