//! Bodies of requests and answers.

use std::fmt;
use std::pin::Pin;
use std::task::{Context, Poll, ready};

use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};
use tokio::sync::oneshot;

use crate::http::connection_share::ConnectionShare;
use crate::http::{BodyError, BodyObserver, BodySource, BufferedBody};

/// Most memory that an answer occupies which is passed on as it comes, in bytes: in the buffers of
/// the connection that it comes from and of the one that it goes to.
const STREAMED_BYTES: u64 = 192 * 1024;

/// The body of a request or answer.
///
/// An observer is notified of each part and of the end. An abort signal ends the body early: its
/// reader then receives [`BodyError::Aborted`].
pub struct HttpBody {
    source: BodySource,
    observer: Option<Box<dyn BodyObserver>>,
    abort_signal: Option<oneshot::Receiver<()>>,
    connection: Option<AnsweringConnection>,
}

/// The connection that a body is sent on. It waits for another request when this is dropped.
struct AnsweringConnection(ConnectionShare);

impl Drop for AnsweringConnection {
    fn drop(&mut self) {
        self.0.finish_request();
    }
}

impl HttpBody {
    /// Creates a body without an observer.
    #[must_use]
    pub fn new(source: BodySource) -> Self {
        Self {
            source,
            observer: None,
            abort_signal: None,
            connection: None,
        }
    }

    /// Creates an empty body.
    #[must_use]
    pub fn empty() -> Self {
        Self::new(BodySource::Empty)
    }

    /// Creates a body from bytes in memory.
    #[must_use]
    pub fn full(bytes: impl Into<Bytes>) -> Self {
        Self::new(BodySource::Full(bytes.into()))
    }

    /// Creates a body from segments in memory, which are not copied.
    #[must_use]
    pub fn buffered(body: &BufferedBody) -> Self {
        Self::new(BodySource::Segments {
            body: body.clone(),
            next: 0,
            remaining_bytes: body.len(),
        })
    }

    /// Creates a body with an observer, which is notified at once if the body is empty.
    #[must_use]
    pub fn observed(source: BodySource, observer: Box<dyn BodyObserver>) -> Self {
        let mut body = Self {
            source,
            observer: Some(observer),
            abort_signal: None,
            connection: None,
        };
        body.finish_if_ended();
        body
    }

    /// Aborts the body as soon as the signal is sent.
    ///
    /// A signal whose sender is dropped without sending has no effect.
    #[must_use]
    pub fn with_abort_signal(mut self, abort_signal: oneshot::Receiver<()>) -> Self {
        self.abort_signal = Some(abort_signal);
        self
    }

    /// Records on the connection that sends the body that parts were sent, and that all of it was.
    #[must_use]
    pub(crate) fn with_connection(mut self, connection: ConnectionShare) -> Self {
        self.connection = Some(AnsweringConnection(connection));
        self
    }

    /// Returns the most memory that the body occupies until it is sent, in bytes.
    pub(crate) fn held_bytes(&self) -> u64 {
        match &self.source {
            BodySource::Full(bytes) => bytes.len() as u64,
            source => {
                let known_bytes = source.size_hint().exact();
                known_bytes.unwrap_or(STREAMED_BYTES).min(STREAMED_BYTES)
            }
        }
    }

    /// Returns whether the abort signal was sent.
    fn poll_aborted(&mut self, cx: &mut Context<'_>) -> bool {
        let Some(abort_signal) = &mut self.abort_signal else {
            return false;
        };
        match Pin::new(abort_signal).poll(cx) {
            Poll::Ready(Ok(())) => true,
            Poll::Ready(Err(_)) => {
                self.abort_signal = None;
                false
            }
            Poll::Pending => false,
        }
    }

    fn finish_if_ended(&mut self) {
        if self.source.has_ended() {
            self.finish();
        }
    }

    fn finish(&mut self) {
        if let Some(observer) = self.observer.take() {
            observer.finished();
        }
    }

    fn fail(&mut self, error: &BodyError) {
        if let Some(observer) = self.observer.take() {
            observer.failed(error);
        }
    }
}

impl Body for HttpBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        if self.poll_aborted(cx) {
            let error = BodyError::Aborted;
            self.fail(&error);
            return Poll::Ready(Some(Err(error)));
        }
        match ready!(self.source.poll_part(cx)) {
            None => {
                self.finish();
                Poll::Ready(None)
            }
            Some(Err(error)) => {
                self.fail(&error);
                Poll::Ready(Some(Err(error)))
            }
            Some(Ok(part)) => {
                if let Some(observer) = &mut self.observer {
                    observer.progressed(&part);
                }
                if let Some(connection) = &self.connection {
                    connection.0.record_progress();
                }
                // If the length is known, the reader doesn't poll again after the last part.
                self.finish_if_ended();
                Poll::Ready(Some(Ok(Frame::data(part))))
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        self.observer.is_none() && self.source.has_ended()
    }

    fn size_hint(&self) -> SizeHint {
        self.source.size_hint()
    }
}

impl Drop for HttpBody {
    fn drop(&mut self) {
        if let Some(observer) = self.observer.take() {
            let rest = std::mem::replace(&mut self.source, BodySource::Empty);
            observer.abandoned(rest);
        }
    }
}

impl fmt::Debug for HttpBody {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("HttpBody")
            .field("source", &self.source)
            .field("is_observed", &self.observer.is_some())
            .finish_non_exhaustive()
    }
}
