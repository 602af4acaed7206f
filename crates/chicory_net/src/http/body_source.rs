//! Sources of the data of a body.

use std::collections::VecDeque;
use std::pin::Pin;
use std::task::{Context, Poll, ready};

use bytes::Bytes;
use hyper::body::{Body, Incoming, SizeHint};
use tokio::sync::mpsc;

use crate::http::{BodyError, BufferedBody};
use crate::peer::BodyPart;

/// The source of the data of a body.
#[derive(Debug)]
pub enum BodySource {
    /// No body.
    Empty,
    /// A body in memory.
    Full(Bytes),
    /// A body in memory, in segments.
    Segments {
        /// The body.
        body: BufferedBody,
        /// Index of the next segment.
        next: usize,
        /// Bytes that are still to be read.
        remaining_bytes: u64,
    },
    /// A body that an HTTP connection delivers.
    Incoming(Incoming),
    /// A body that an HTTP connection delivers and of which some parts are in memory already.
    Resumed {
        /// The parts in memory.
        parts: VecDeque<Bytes>,
        /// The remainder, which is still to be received.
        rest: Incoming,
    },
    /// A body that another task delivers, up to its [`BodyPart::End`].
    Parts {
        /// The parts.
        parts: mpsc::Receiver<Result<BodyPart, BodyError>>,
        /// Bytes that are still to be received, if the length is known.
        remaining_bytes: Option<u64>,
    },
}

impl BodySource {
    /// Returns whether the body has no more data; `false` if that isn't known.
    pub(crate) fn has_ended(&self) -> bool {
        match self {
            Self::Empty => true,
            Self::Full(bytes) => bytes.is_empty(),
            Self::Segments {
                remaining_bytes, ..
            } => *remaining_bytes == 0,
            Self::Incoming(body) => body.is_end_stream(),
            Self::Resumed { parts, rest } => parts.is_empty() && rest.is_end_stream(),
            Self::Parts {
                remaining_bytes, ..
            } => *remaining_bytes == Some(0),
        }
    }

    /// Returns the number of bytes that are still to be read, if it is known.
    #[must_use]
    pub fn size_hint(&self) -> SizeHint {
        match self {
            Self::Empty => SizeHint::with_exact(0),
            Self::Full(bytes) => SizeHint::with_exact(bytes.len() as u64),
            Self::Segments {
                remaining_bytes, ..
            } => SizeHint::with_exact(*remaining_bytes),
            Self::Incoming(body) => body.size_hint(),
            Self::Resumed { parts, rest } => {
                let known: usize = parts.iter().map(Bytes::len).sum();
                let rest = rest.size_hint().exact();
                rest.map_or_else(SizeHint::default, |rest| {
                    SizeHint::with_exact(rest + known as u64)
                })
            }
            Self::Parts {
                remaining_bytes, ..
            } => remaining_bytes.map_or_else(SizeHint::default, SizeHint::with_exact),
        }
    }

    /// Polls for the next part; `None` after the last one.
    pub(crate) fn poll_part(
        &mut self,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Bytes, BodyError>>> {
        match self {
            Self::Empty => Poll::Ready(None),
            Self::Full(bytes) => {
                let bytes = std::mem::take(bytes);
                *self = Self::Empty;
                Poll::Ready(Some(Ok(bytes)))
            }
            Self::Segments {
                body,
                next,
                remaining_bytes,
            } => {
                let segment = body.segments().get(*next).cloned();
                *next += 1;
                if let Some(segment) = &segment {
                    *remaining_bytes -= segment.len() as u64;
                }
                Poll::Ready(segment.map(Ok))
            }
            Self::Incoming(body) => poll_incoming(body, cx),
            Self::Resumed { parts, rest } => match parts.pop_front() {
                Some(part) => Poll::Ready(Some(Ok(part))),
                None => poll_incoming(rest, cx),
            },
            Self::Parts {
                parts,
                remaining_bytes,
            } => {
                let part = ready!(parts.poll_recv(cx));
                Poll::Ready(check_part(part, remaining_bytes))
            }
        }
    }
}

fn poll_incoming(
    body: &mut Incoming,
    cx: &mut Context<'_>,
) -> Poll<Option<Result<Bytes, BodyError>>> {
    loop {
        match ready!(Pin::new(&mut *body).poll_frame(cx)) {
            None => return Poll::Ready(None),
            Some(Err(source)) => return Poll::Ready(Some(Err(BodyError::Http { source }))),
            Some(Ok(frame)) => {
                // Trailers belong to one connection and aren't forwarded.
                if let Ok(data) = frame.into_data() {
                    return Poll::Ready(Some(Ok(data)));
                }
            }
        }
    }
}

/// Checks a received part against the remaining length, if it is known.
fn check_part(
    part: Option<Result<BodyPart, BodyError>>,
    remaining_bytes: &mut Option<u64>,
) -> Option<Result<Bytes, BodyError>> {
    match part {
        Some(Ok(BodyPart::Chunk(bytes))) => {
            let Some(remaining) = remaining_bytes else {
                return Some(Ok(bytes));
            };
            match remaining.checked_sub(bytes.len() as u64) {
                Some(rest) => *remaining = rest,
                None => return Some(Err(BodyError::Aborted)),
            }
            Some(Ok(bytes))
        }
        Some(Ok(BodyPart::End)) if remaining_bytes.is_none_or(|rest| rest == 0) => None,
        Some(Err(error)) => Some(Err(error)),
        Some(Ok(BodyPart::End)) | None => Some(Err(BodyError::Aborted)),
    }
}
