//! The receiving direction of a relayed request.

use bytes::{Bytes, BytesMut};
use chicory_wire::proto::relay::relay_frame::Frame as Part;
use chicory_wire::proto::relay::{RelayAnswerHead, RelayFrame, RelayRequestHead};
use quinn::{ReadExactError, RecvStream};
use snafu::{ResultExt, ensure};

use crate::peer::frame_error::{BrokenSnafu, UnexpectedSnafu, WrongLengthSnafu};
use crate::peer::{Frame, FrameError};

/// Bytes taken from the stream at a time.
const MAX_CHUNK_BYTES: usize = 64 * 1024;

/// A part of a relayed body.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum BodyPart {
    /// Bytes of the body.
    Chunk(Bytes),
    /// The body is complete, and as long as its sender states.
    End,
}

/// The receiving direction of a relayed request; dropped early, it tells the other end to stop.
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
    /// Fails for anything else, and where the stream breaks.
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
    /// Fails for anything else, and where the stream breaks.
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
    /// Fails where the stream breaks before the body's end, and for a body whose length isn't the
    /// stated one.
    pub async fn next_part(&mut self) -> Result<BodyPart, FrameError> {
        let part = self.next().await?;
        self.body_part(part)
    }

    /// The whole body, where all of it has been received already; it stays to be read.
    ///
    /// # Errors
    ///
    /// Fails for a body whose length isn't the stated one.
    pub fn received_body(&mut self) -> Result<Option<Bytes>, FrameError> {
        let body_bytes = self.body_bytes;
        let body = self.read_ahead();
        // What was looked at stays to be read, in case it isn't taken.
        self.body_bytes = body_bytes;
        body
    }

    fn read_ahead(&mut self) -> Result<Option<Bytes>, FrameError> {
        let mut ahead = self.received.clone();
        let mut body = BytesMut::new();
        while let Some(RelayFrame { frame }) = Frame::take(&mut ahead)? {
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
                let lengths = WrongLengthSnafu {
                    received_bytes: self.body_bytes,
                    stated_bytes: end.total_bytes,
                };
                ensure!(self.body_bytes == end.total_bytes, lengths);
                Ok(BodyPart::End)
            }
            _ => UnexpectedSnafu {
                expected: "a part of the body",
            }
            .fail(),
        }
    }

    async fn next(&mut self) -> Result<Option<Part>, FrameError> {
        loop {
            if let Some(RelayFrame { frame }) = Frame::take(&mut self.received)? {
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
