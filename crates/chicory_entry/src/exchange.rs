//! A request while it is open.

use chicory_dispatch::ConnectionId;
use chicory_types::{OrderKey, RequestId};
use hyper::Method;
use hyper::header::HeaderMap;
use tokio::sync::oneshot;
use tokio::task::AbortHandle;

use crate::answer::Answer;
use crate::request_body::RequestBody;
use crate::started_answer::StartedAnswer;

/// What is passed on of a request.
#[derive(Clone, Debug)]
pub(crate) struct ForwardedHead {
    pub(crate) method: Method,
    /// Path and query as the caller sent them.
    pub(crate) path_and_query: String,
    /// Headers without those of the connection and of this system.
    pub(crate) headers: HeaderMap,
    pub(crate) service: String,
    pub(crate) key: Option<String>,
    pub(crate) order_key: Option<OrderKey>,
    pub(crate) fingerprint: u64,
    pub(crate) is_safe_method: bool,
}

/// A request while it is open.
#[derive(Debug)]
pub(crate) struct Exchange {
    pub(crate) head: ForwardedHead,
    pub(crate) body: RequestBody,
    pub(crate) answer: Option<oneshot::Sender<Answer>>,
    /// Number of the current try; what comes of earlier ones is dropped.
    pub(crate) attempt: u64,
    /// The task that waits for the head of the answer.
    pub(crate) waiting: Option<AbortHandle>,
    /// Where the current try was written, for tries at a backend server.
    pub(crate) written: Option<Written>,
    /// The answer whose head is here.
    pub(crate) started: Option<StartedAnswer>,
    /// Breaks the answer that is being passed on.
    pub(crate) breaker: Option<oneshot::Sender<()>>,
}

impl Exchange {
    pub(crate) fn new(
        head: ForwardedHead,
        body: RequestBody,
        answer: oneshot::Sender<Answer>,
    ) -> Self {
        Self {
            head,
            body,
            answer: Some(answer),
            attempt: 0,
            waiting: None,
            written: None,
            started: None,
            breaker: None,
        }
    }

    /// Ends the current try; nothing of it is heard any more.
    pub(crate) fn end_attempt(&mut self) {
        self.attempt += 1;
        self.written = None;
        self.started = None;
        if let Some(waiting) = self.waiting.take() {
            waiting.abort();
        }
    }

    /// Whether the answer is being passed on.
    pub(crate) fn is_forwarding(&self) -> bool {
        self.breaker.is_some()
    }
}

impl Drop for Exchange {
    fn drop(&mut self) {
        if let Some(waiting) = self.waiting.take() {
            waiting.abort();
        }
    }
}

/// One try of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Attempt {
    pub(crate) request: RequestId,
    pub(crate) number: u64,
}

/// Where a try was written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Written {
    pub(crate) connection: ConnectionId,
    /// Whether the answer is to be kept.
    pub(crate) keeps_answer: bool,
}
