//! Reads frames from a connection.

use std::io;

use bytes::{Buf, BytesMut};
use snafu::ResultExt;
use tokio::io::{AsyncRead, AsyncReadExt};
use tokio::time::Instant;
use tokio_util::codec::{Decoder, LengthDelimitedCodec};

use crate::link_error::IoSnafu;
use crate::read_event::{FrameTransfer, ReadEvent};
use crate::{Frame, LinkError};

/// Largest accepted frame: it has room for a route table of some ten thousand routes.
pub const MAX_FRAME_BYTES: usize = 16 * 1024 * 1024;
/// Buffer space reserved for each read; most messages are smaller.
const READ_CAPACITY_BYTES: usize = 4 * 1024;

/// Reads frames from one direction of a connection.
pub struct FrameReader<R> {
    reader: R,
    codec: LengthDelimitedCodec,
    buffer: BytesMut,
    /// When the first byte of the unfinished frame was read.
    first_byte_at: Option<Instant>,
    /// Bytes of the unfinished frame read so far, including its length prefix.
    unfinished_bytes: usize,
}

impl<R: AsyncRead + Unpin> FrameReader<R> {
    /// Creates a `FrameReader` that reads from `reader`.
    pub fn new(reader: R) -> Self {
        let codec = LengthDelimitedCodec::builder()
            .max_frame_length(MAX_FRAME_BYTES)
            .new_codec();
        Self {
            reader,
            codec,
            buffer: BytesMut::new(),
            first_byte_at: None,
            unfinished_bytes: 0,
        }
    }

    /// Returns the next frame, or `None` at the end of the connection.
    ///
    /// # Errors
    ///
    /// [`LinkError::Io`] when the connection breaks or ends within a frame.
    pub async fn next(&mut self) -> Result<Option<Frame>, LinkError> {
        loop {
            match self.next_event().await? {
                ReadEvent::PartialFrame => {}
                ReadEvent::Frame { frame, .. } => return Ok(Some(frame)),
                ReadEvent::End => return Ok(None),
            }
        }
    }

    /// Returns the next frame, or [`ReadEvent::PartialFrame`] when only part of it was received.
    ///
    /// A large frame takes long on a slow link, so a timeout for an unresponsive peer has to
    /// restart with each part, not only with complete frames. The method is cancel safe: no bytes
    /// are lost when the future is dropped.
    ///
    /// # Errors
    ///
    /// [`LinkError::Io`] when the connection breaks or ends within a frame.
    pub async fn next_event(&mut self) -> Result<ReadEvent, LinkError> {
        if let Some(event) = self.take_buffered_frame()? {
            return Ok(event);
        }
        self.buffer.reserve(READ_CAPACITY_BYTES);
        let read_bytes = self
            .reader
            .read_buf(&mut self.buffer)
            .await
            .context(IoSnafu)?;
        if read_bytes == 0 {
            return self.end_of_stream();
        }
        self.unfinished_bytes += read_bytes;
        self.first_byte_at.get_or_insert_with(Instant::now);
        Ok(self
            .take_buffered_frame()?
            .unwrap_or(ReadEvent::PartialFrame))
    }

    /// Returns the number of bytes read of the unfinished frame, including its length prefix.
    #[must_use]
    pub fn unfinished_bytes(&self) -> usize {
        self.unfinished_bytes
    }

    fn take_buffered_frame(&mut self) -> Result<Option<ReadEvent>, LinkError> {
        let Some(bytes) = self.codec.decode(&mut self.buffer).context(IoSnafu)? else {
            return Ok(None);
        };
        let now = Instant::now();
        let first_byte_at = self.first_byte_at.take().unwrap_or(now);
        // The remaining bytes belong to frames that were received together with this one.
        self.first_byte_at = self.buffer.has_remaining().then_some(now);
        self.unfinished_bytes = self.buffer.remaining();
        let transfer = FrameTransfer {
            size_bytes: bytes.len(),
            took: now - first_byte_at,
        };
        let frame = if bytes.is_empty() {
            Frame::KeepAlive
        } else {
            Frame::Message(bytes.freeze())
        };
        Ok(Some(ReadEvent::Frame { frame, transfer }))
    }

    fn end_of_stream(&self) -> Result<ReadEvent, LinkError> {
        if self.unfinished_bytes == 0 {
            return Ok(ReadEvent::End);
        }
        let failure = io::Error::from(io::ErrorKind::UnexpectedEof);
        Err(failure).context(IoSnafu)
    }
}
