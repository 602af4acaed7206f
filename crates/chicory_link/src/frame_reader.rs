//! Reads frames.

use bytes::{Bytes, BytesMut};
use futures_util::StreamExt;
use prost::Message;
use snafu::ResultExt;
use tokio::io::AsyncRead;
use tokio_util::codec::{FramedRead, LengthDelimitedCodec};

use crate::LinkError;
use crate::link_error::{DecodeSnafu, IoSnafu};

/// Largest frame: a route table of some ten thousand routes.
pub const MAX_FRAME_BYTES: usize = 16 * 1024 * 1024;

/// One frame.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Frame {
    /// The other end is alive.
    Alive,
    /// An encoded message.
    Message(Bytes),
}

impl Frame {
    /// Decodes the message.
    ///
    /// # Errors
    ///
    /// [`LinkError::Decode`] when it is of another type; an empty frame decodes to the default.
    pub fn decode<M: Message + Default>(self) -> Result<M, LinkError> {
        match self {
            Self::Alive => Ok(M::default()),
            Self::Message(bytes) => M::decode(bytes).context(DecodeSnafu),
        }
    }
}

/// Reads frames from one direction of a connection.
pub struct FrameReader<R> {
    frames: FramedRead<R, LengthDelimitedCodec>,
}

impl<R: AsyncRead + Unpin> FrameReader<R> {
    /// Reads from `read`.
    pub fn new(read: R) -> Self {
        let codec = LengthDelimitedCodec::builder()
            .max_frame_length(MAX_FRAME_BYTES)
            .new_codec();
        Self {
            frames: FramedRead::new(read, codec),
        }
    }

    /// The next frame; `None` at the end of the connection.
    ///
    /// # Errors
    ///
    /// [`LinkError::Io`] when the connection breaks.
    pub async fn next(&mut self) -> Result<Option<Frame>, LinkError> {
        let frame = self.frames.next().await.transpose().context(IoSnafu)?;
        Ok(frame.map(|bytes: BytesMut| {
            if bytes.is_empty() {
                Frame::Alive
            } else {
                Frame::Message(bytes.freeze())
            }
        }))
    }
}
