//! The interface to the control processes.

use std::pin::Pin;

use chicory_wire::proto::operator::{operator_answer::Answer, operator_request::Request};

use super::ClientError;

/// The future answer to a request.
pub type AnswerFuture<'a> = Pin<Box<dyn Future<Output = Result<Answer, ClientError>> + 'a>>;

/// Sends requests to the control processes of a cluster.
///
/// Tests implement this trait with a fake in place of a cluster.
pub trait ControlClient {
    /// Sends a request to the control processes until one of them answers it.
    ///
    /// The request may be sent more than once. The future returns a [`ClientError`] if no process
    /// answers in time or one refuses the request.
    fn send(&self, request: Request) -> AnswerFuture<'_>;
}
