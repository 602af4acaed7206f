//! Frames of the protocol between processes.

use bytes::{Buf, BufMut, Bytes, BytesMut};
use prost::Message;
use quinn::{RecvStream, SendStream};
use snafu::{ResultExt, ensure};

use crate::peer::frame_error::{
    BrokenSnafu, FrameError, MalformedSnafu, OversizedSnafu, WriteSnafu, WrongLengthSnafu,
    WrongMagicSnafu, WrongVersionSnafu,
};

/// First two bytes of every frame, "CS".
const FRAME_MAGIC: u16 = 0x4353;
/// Version of the protocol between processes.
pub const FRAME_VERSION: u16 = 1;
/// Size of a frame's header in bytes: magic number, version and length.
pub const FRAME_HEADER_BYTES: usize = 8;
/// Maximum size of a frame's message in bytes.
pub const MAX_FRAME_BYTES: usize = 16 * 1024 * 1024;

/// Encodes and decodes frames: a header of magic number, version and length, then one message.
///
/// # Examples
///
/// ```
/// use chicory_net::peer::Frame;
/// use chicory_wire::proto::common::SlotRun;
///
/// let run = SlotRun { first: 4, last: 9 };
/// let frame = Frame::encode(&run)?;
/// assert_eq!(Frame::decode::<SlotRun>(&frame)?, run);
/// # Ok::<(), chicory_net::peer::FrameError>(())
/// ```
#[derive(Clone, Copy, Debug)]
pub struct Frame;

impl Frame {
    /// Encodes a message with its header.
    ///
    /// # Errors
    ///
    /// Returns an error if the message is longer than [`MAX_FRAME_BYTES`].
    pub fn encode(message: &impl Message) -> Result<Bytes, FrameError> {
        let size_bytes = message.encoded_len();
        let mut buf = BytesMut::with_capacity(FRAME_HEADER_BYTES + size_bytes);
        Self::append(&mut buf, message)?;
        Ok(buf.freeze())
    }

    /// Appends a message with its header to a buffer.
    pub(crate) fn append(buf: &mut BytesMut, message: &impl Message) -> Result<(), FrameError> {
        let size_bytes = message.encoded_len();
        ensure!(size_bytes <= MAX_FRAME_BYTES, OversizedSnafu { size_bytes });
        buf.reserve(FRAME_HEADER_BYTES + size_bytes);
        buf.put_u16(FRAME_MAGIC);
        buf.put_u16(FRAME_VERSION);
        buf.put_u32(u32::try_from(size_bytes).unwrap_or(u32::MAX));
        message.encode_raw(buf);
        Ok(())
    }

    /// Decodes and removes the first frame of a buffer; `None` if it is still incomplete.
    pub(crate) fn decode_next<M: Message + Default>(
        buf: &mut BytesMut,
    ) -> Result<Option<M>, FrameError> {
        let Some(header) = buf.first_chunk::<FRAME_HEADER_BYTES>() else {
            return Ok(None);
        };
        let size_bytes = Self::payload_bytes(*header)?;
        if buf.len() < FRAME_HEADER_BYTES + size_bytes {
            return Ok(None);
        }
        buf.advance(FRAME_HEADER_BYTES);
        let payload = buf.split_to(size_bytes);
        M::decode(payload.freeze())
            .context(MalformedSnafu)
            .map(Some)
    }

    /// Decodes a complete frame from memory.
    ///
    /// # Errors
    ///
    /// Returns an error for a wrong header, a length other than the stated one, or a malformed
    /// message.
    pub fn decode<M: Message + Default>(frame: &[u8]) -> Result<M, FrameError> {
        let Some((header, payload)) = frame.split_first_chunk::<FRAME_HEADER_BYTES>() else {
            let expected = "a frame header";
            return Err(FrameError::Unexpected { expected });
        };
        let size_bytes = Self::payload_bytes(*header)?;
        let wrong_length = WrongLengthSnafu {
            received_bytes: payload.len() as u64,
            stated_bytes: size_bytes as u64,
        };
        ensure!(size_bytes == payload.len(), wrong_length);
        M::decode(payload).context(MalformedSnafu)
    }

    /// Writes a message as one frame.
    ///
    /// # Errors
    ///
    /// Returns an error if the message is too long or the stream can't be written.
    pub async fn write(stream: &mut SendStream, message: &impl Message) -> Result<(), FrameError> {
        let frame = Self::encode(message)?;
        stream.write_chunk(frame).await.context(WriteSnafu)
    }

    /// Reads one frame.
    ///
    /// # Errors
    ///
    /// Returns an error for a wrong header or a malformed message, or if the stream fails.
    pub async fn read<M: Message + Default>(stream: &mut RecvStream) -> Result<M, FrameError> {
        let mut header = [0; FRAME_HEADER_BYTES];
        stream.read_exact(&mut header).await.context(BrokenSnafu)?;
        let size_bytes = Self::payload_bytes(header)?;
        let mut payload = vec![0; size_bytes];
        stream.read_exact(&mut payload).await.context(BrokenSnafu)?;
        M::decode(payload.as_slice()).context(MalformedSnafu)
    }

    /// Checks a header and returns the length of the message that follows.
    fn payload_bytes(header: [u8; FRAME_HEADER_BYTES]) -> Result<usize, FrameError> {
        let [m0, m1, v0, v1, l0, l1, l2, l3] = header;
        let magic = u16::from_be_bytes([m0, m1]);
        ensure!(magic == FRAME_MAGIC, WrongMagicSnafu { found: magic });
        let version = u16::from_be_bytes([v0, v1]);
        let is_known_version = version == FRAME_VERSION;
        ensure!(is_known_version, WrongVersionSnafu { found: version });
        let size_bytes = u32::from_be_bytes([l0, l1, l2, l3]) as usize;
        ensure!(size_bytes <= MAX_FRAME_BYTES, OversizedSnafu { size_bytes });
        Ok(size_bytes)
    }
}
