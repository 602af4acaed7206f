//! An open request and its attempts.

use chicory_dispatch::ConnectionId;
use chicory_types::{OrderKey, RequestId};
use hyper::Method;
use hyper::header::HeaderMap;
use tokio::sync::oneshot;
use tokio::task::AbortHandle;

use crate::answer::Answer;
use crate::request_body::RequestBody;
use crate::started_answer::StartedAnswer;

/// The part of a request's head that is forwarded or used for routing.
#[derive(Clone, Debug)]
pub(crate) struct ForwardedHead {
    pub(crate) method: Method,
    /// Path and query as the caller sent them.
    pub(crate) path_and_query: String,
    /// Headers without those that concern the connection or that only this system may set.
    pub(crate) headers: HeaderMap,
    pub(crate) service: String,
    pub(crate) key: Option<String>,
    pub(crate) order_key: Option<OrderKey>,
    pub(crate) fingerprint: u64,
    pub(crate) is_safe_method: bool,
}

/// An open request: one that was received and whose answer has not been forwarded completely.
#[derive(Debug)]
pub(crate) struct Exchange {
    pub(crate) head: ForwardedHead,
    pub(crate) body: RequestBody,
    pub(crate) answer: Option<oneshot::Sender<Answer>>,
    /// Number of the current attempt; results of earlier ones are dropped.
    pub(crate) attempt: u64,
    /// The task that waits for the head of the answer.
    pub(crate) answer_task: Option<AbortHandle>,
    /// Connection that the current attempt was written to, if it goes to a backend server.
    pub(crate) written: Option<Written>,
    /// The answer whose head was received, until it is forwarded or discarded.
    pub(crate) started: Option<StartedAnswer>,
    /// Aborts the answer that is being forwarded.
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
            answer_task: None,
            written: None,
            started: None,
            breaker: None,
        }
    }

    /// Ends the current attempt, so that its results are dropped.
    pub(crate) fn end_attempt(&mut self) {
        self.attempt += 1;
        self.written = None;
        self.started = None;
        if let Some(answer_task) = self.answer_task.take() {
            answer_task.abort();
        }
    }

    /// Returns whether the answer is being forwarded.
    pub(crate) fn is_forwarding(&self) -> bool {
        self.breaker.is_some()
    }
}

impl Drop for Exchange {
    fn drop(&mut self) {
        if let Some(answer_task) = self.answer_task.take() {
            answer_task.abort();
        }
    }
}

/// One attempt of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Attempt {
    pub(crate) request: RequestId,
    pub(crate) number: u64,
}

/// The connection that an attempt was written to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Written {
    pub(crate) connection: ConnectionId,
    /// Whether the answer is kept for resends of the order.
    pub(crate) keeps_answer: bool,
}
