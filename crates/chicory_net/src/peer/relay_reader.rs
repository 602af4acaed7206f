//! The receiving direction of a relayed request.

use bytes::Bytes;
use chicory_wire::proto::relay::relay_frame::Frame as Part;
use chicory_wire::proto::relay::{RelayAnswerHead, RelayFrame, RelayRequestHead};
use quinn::RecvStream;
use snafu::ensure;

use crate::peer::frame_error::{UnexpectedSnafu, WrongLengthSnafu};
use crate::peer::{Frame, FrameError};

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
    body_bytes: u64,
}

impl RelayReader {
    pub(crate) fn new(stream: RecvStream) -> Self {
        Self {
            stream,
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
        match self.next().await? {
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
        let frame: RelayFrame = Frame::read(&mut self.stream).await?;
        Ok(frame.frame)
    }
}
