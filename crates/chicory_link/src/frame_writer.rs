//! Writes frames to a connection.

use bytes::{BufMut, BytesMut};
use prost::Message;
use snafu::ResultExt;
use tokio::io::{AsyncWrite, AsyncWriteExt};

use crate::LinkError;
use crate::link_error::IoSnafu;

/// Writes frames to one direction of a connection.
pub struct FrameWriter<W> {
    writer: W,
    buffer: BytesMut,
}

impl<W: AsyncWrite + Unpin> FrameWriter<W> {
    /// Creates a `FrameWriter` that writes to `writer`.
    pub fn new(writer: W) -> Self {
        Self {
            writer,
            buffer: BytesMut::new(),
        }
    }

    /// Returns the underlying writer.
    pub fn get_ref(&self) -> &W {
        &self.writer
    }

    /// Encodes a message into the buffer; [`flush`](Self::flush) sends it.
    pub fn put(&mut self, message: &impl Message) {
        let length = u32::try_from(message.encoded_len()).unwrap_or(u32::MAX);
        self.buffer.put_u32(length);
        self.buffer.extend_from_slice(&message.encode_to_vec());
    }

    /// Appends a message that is already encoded to the buffer.
    pub fn put_encoded(&mut self, message: &[u8]) {
        let length = u32::try_from(message.len()).unwrap_or(u32::MAX);
        self.buffer.put_u32(length);
        self.buffer.extend_from_slice(message);
    }

    /// Appends an empty frame to the buffer, which shows that this process is running.
    pub fn put_keep_alive(&mut self) {
        self.buffer.put_u32(0);
    }

    /// Sends the buffered frames, with a single write if the connection accepts all of
    /// them at once.
    ///
    /// # Errors
    ///
    /// [`LinkError::Io`] when the connection breaks.
    pub async fn flush(&mut self) -> Result<(), LinkError> {
        let buffer = self.buffer.split();
        self.writer.write_all(&buffer).await.context(IoSnafu)
    }
}
