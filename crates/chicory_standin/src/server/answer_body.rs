//! The body of an answer, either complete or cut short.

use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};

/// The body of an answer, either complete or cut short.
#[derive(Debug)]
pub struct AnswerBody {
    rest: Option<Bytes>,
    declared_bytes: u64,
    is_cut: bool,
}

impl AnswerBody {
    /// Creates a body that is sent completely.
    pub fn complete(bytes: Bytes) -> Self {
        Self {
            declared_bytes: bytes.len() as u64,
            rest: Some(bytes),
            is_cut: false,
        }
    }

    /// Creates a body that declares its full length but ends in the middle with an error.
    pub fn cut(bytes: &Bytes) -> Self {
        Self {
            declared_bytes: bytes.len() as u64,
            rest: Some(bytes.slice(..bytes.len() / 2)),
            is_cut: true,
        }
    }
}

impl Body for AnswerBody {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        match self.rest.take() {
            Some(bytes) if !bytes.is_empty() => Poll::Ready(Some(Ok(Frame::data(bytes)))),
            _ if self.is_cut => {
                let error = io::Error::from(io::ErrorKind::ConnectionAborted);
                Poll::Ready(Some(Err(error)))
            }
            _ => Poll::Ready(None),
        }
    }

    fn is_end_stream(&self) -> bool {
        !self.is_cut && self.rest.as_ref().is_none_or(Bytes::is_empty)
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.declared_bytes)
    }
}
