//! The receiving direction of a relayed request.

use bytes::{Bytes, BytesMut};
use chicory_wire::proto::relay::relay_frame::Frame as Part;
use chicory_wire::proto::relay::{RelayAnswerHead, RelayFrame, RelayRequestHead};
use quinn::{ReadExactError, RecvStream};
use snafu::{ResultExt, ensure};

use crate::peer::frame_error::{BrokenSnafu, UnexpectedSnafu, WrongLengthSnafu};
use crate::peer::{Frame, FrameError};

/// Maximum number of bytes read from the stream at a time.
const MAX_CHUNK_BYTES: usize = 64 * 1024;

/// A part of a relayed body.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum BodyPart {
    /// Bytes of the body.
    Chunk(Bytes),
    /// The body is complete and has the length that its sender stated.
    End,
}

/// The receiving direction of a relayed request.
///
/// Dropping it before the end of the body signals the other end to stop sending.
#[derive(Debug)]
pub struct RelayReader {
    stream: RecvStream,
    received: BytesMut,
    body_bytes: u64,
}

impl RelayReader {
    pub(crate) fn new(stream: RecvStream) -> Self {
        Self {
            stream,
            received: BytesMut::new(),
            body_bytes: 0,
        }
    }

    /// Reads the head of the request.
    ///
    /// # Errors
    ///
    /// Returns an error for any other frame, or if the stream fails.
    pub async fn request_head(&mut self) -> Result<RelayRequestHead, FrameError> {
        match self.next().await? {
            Some(Part::RequestHead(head)) => Ok(head),
            _ => UnexpectedSnafu {
                expected: "the head of a relayed request",
            }
            .fail(),
        }
    }

    /// Reads the head of the answer.
    ///
    /// # Errors
    ///
    /// Returns an error for any other frame, or if the stream fails.
    pub async fn answer_head(&mut self) -> Result<RelayAnswerHead, FrameError> {
        match self.next().await? {
            Some(Part::AnswerHead(head)) => Ok(head),
            _ => UnexpectedSnafu {
                expected: "the head of a relayed answer",
            }
            .fail(),
        }
    }

    /// Reads the next part of the body.
    ///
    /// # Errors
    ///
    /// Returns an error if the stream fails before the end of the body, or if the length of the
    /// body isn't the stated one.
    pub async fn next_part(&mut self) -> Result<BodyPart, FrameError> {
        let part = self.next().await?;
        self.body_part(part)
    }

    /// Returns the whole body if all of it has been received already, without consuming it.
    ///
    /// # Errors
    ///
    /// Returns an error if the length of the body isn't the stated one or a frame is invalid.
    pub fn received_body(&mut self) -> Result<Option<Bytes>, FrameError> {
        let body_bytes = self.body_bytes;
        let body = self.read_ahead();
        // The frames stay in the buffer, so that `next_part` counts their bytes again.
        self.body_bytes = body_bytes;
        body
    }

    /// Decodes the frames received so far; returns the body if its last frame is among them.
    fn read_ahead(&mut self) -> Result<Option<Bytes>, FrameError> {
        let mut unread = self.received.clone();
        let mut body = BytesMut::new();
        while let Some(RelayFrame { frame }) = Frame::decode_next(&mut unread)? {
            match self.body_part(frame)? {
                BodyPart::Chunk(bytes) => body.extend_from_slice(&bytes),
                BodyPart::End => return Ok(Some(body.freeze())),
            }
        }
        Ok(None)
    }

    fn body_part(&mut self, part: Option<Part>) -> Result<BodyPart, FrameError> {
        match part {
            Some(Part::Chunk(chunk)) => {
                self.body_bytes += chunk.data.len() as u64;
                Ok(BodyPart::Chunk(chunk.data.into()))
            }
            Some(Part::End(end)) => {
                let wrong_length = WrongLengthSnafu {
                    received_bytes: self.body_bytes,
                    stated_bytes: end.total_bytes,
                };
                ensure!(self.body_bytes == end.total_bytes, wrong_length);
                Ok(BodyPart::End)
            }
            _ => UnexpectedSnafu {
                expected: "a part of the body",
            }
            .fail(),
        }
    }

    /// Reads the next frame of the stream.
    async fn next(&mut self) -> Result<Option<Part>, FrameError> {
        loop {
            if let Some(RelayFrame { frame }) = Frame::decode_next(&mut self.received)? {
                return Ok(frame);
            }
            let chunk = self.stream.read_chunk(MAX_CHUNK_BYTES, true).await;
            let chunk = chunk.map_err(ReadExactError::ReadError);
            let Some(chunk) = chunk.context(BrokenSnafu)? else {
                let missing = ReadExactError::FinishedEarly(self.received.len());
                return Err(FrameError::Broken { source: missing });
            };
            self.received.extend_from_slice(&chunk.bytes);
        }
    }
}
