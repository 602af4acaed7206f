//! The border to the control processes.

use std::pin::Pin;

use chicory_wire::proto::operator::{operator_answer::Answer, operator_request::Request};

use super::ClientError;

/// The answer to come.
pub type AnswerFuture<'a> = Pin<Box<dyn Future<Output = Result<Answer, ClientError>> + 'a>>;

/// Asks the control processes of a cluster.
pub trait ControlClient {
    /// Asks whichever process can answer.
    ///
    /// The future fails with a [`ClientError`] if none does in time. The request may be sent more
    /// than once.
    fn send(&self, request: Request) -> AnswerFuture<'_>;
}
