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

/// Error code of a stream whose sender gave up.
const CANCELLED: VarInt = VarInt::from_u32(1);

/// Bytes that are gathered before they are handed to the stream.
const GATHERED_BYTES: usize = 16 * 1024;

/// The sending direction of a relayed request; dropped before [`end`](Self::end), it resets the
/// stream, so that the other end never takes a part for the whole.
///
/// Small frames are gathered: most requests and answers go out in one piece. Whoever has to wait
/// for the next part calls [`flush`](Self::flush) first.
#[derive(Debug)]
pub struct RelayWriter {
    stream: SendStream,
    gathered: BytesMut,
    body_bytes: u64,
    has_ended: bool,
}

impl RelayWriter {
    pub(crate) fn new(stream: SendStream) -> Self {
        Self {
            stream,
            gathered: BytesMut::new(),
            body_bytes: 0,
            has_ended: false,
        }
    }

    /// Starts with the stream's kind.
    pub(crate) fn opening(stream: SendStream) -> Self {
        let mut writer = Self::new(stream);
        writer.gathered.put_u8(StreamKind::Relay.to_byte());
        writer
    }

    /// Sends the head of the request.
    ///
    /// # Errors
    ///
    /// Fails where the stream takes no more.
    pub async fn send_request_head(&mut self, head: RelayRequestHead) -> Result<(), FrameError> {
        self.send(Part::RequestHead(head)).await
    }

    /// Sends the head of the answer.
    ///
    /// # Errors
    ///
    /// Fails where the stream takes no more.
    pub async fn send_answer_head(&mut self, head: RelayAnswerHead) -> Result<(), FrameError> {
        self.send(Part::AnswerHead(head)).await
    }

    /// Sends a part of the body; waits while the other end is slower.
    ///
    /// # Errors
    ///
    /// Fails where the stream takes no more.
    pub async fn send_chunk(&mut self, data: Vec<u8>) -> Result<(), FrameError> {
        self.body_bytes += data.len() as u64;
        self.send(Part::Chunk(BodyChunk { data })).await
    }

    /// Ends the body and states its length.
    ///
    /// # Errors
    ///
    /// Fails where the stream takes no more.
    pub async fn end(&mut self) -> Result<(), FrameError> {
        let total_bytes = self.body_bytes;
        self.send(Part::End(BodyEnd { total_bytes })).await?;
        self.flush().await?;
        self.has_ended = true;
        let _ = self.stream.finish();
        Ok(())
    }

    /// Hands what was gathered to the stream; waits while the other end is slower.
    ///
    /// # Errors
    ///
    /// Fails where the stream takes no more.
    pub async fn flush(&mut self) -> Result<(), FrameError> {
        if self.gathered.is_empty() {
            return Ok(());
        }
        let gathered = self.gathered.split().freeze();
        self.stream.write_chunk(gathered).await.context(WriteSnafu)
    }

    /// Completes once the other end has received all, has cancelled, or is lost.
    pub fn closed(&self) -> impl Future<Output = ()> + Send + 'static + use<> {
        let stopped = self.stream.stopped();
        async move {
            let _ = stopped.await;
        }
    }

    async fn send(&mut self, part: Part) -> Result<(), FrameError> {
        let frame = RelayFrame { frame: Some(part) };
        Frame::append(&mut self.gathered, &frame)?;
        if self.gathered.len() >= GATHERED_BYTES {
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
