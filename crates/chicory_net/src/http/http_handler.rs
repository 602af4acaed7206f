//! The handler of the requests of a listener.

use std::pin::Pin;

use hyper::body::Incoming;
use hyper::{Request, Response};

use crate::http::HttpBody;

/// A future that resolves to the answer of a request.
pub type AnswerFuture = Pin<Box<dyn Future<Output = Response<HttpBody>> + Send>>;

/// Answers the requests of a listener.
///
/// The returned future is dropped if the caller disconnects before the head of the answer.
pub trait HttpHandler: Send + Sync {
    /// Returns a future that answers the request.
    fn handle(&self, request: Request<Incoming>) -> AnswerFuture;
}
