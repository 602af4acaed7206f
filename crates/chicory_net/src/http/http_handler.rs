//! What answers the requests of a listener.

use std::pin::Pin;

use hyper::body::Incoming;
use hyper::{Request, Response};

use crate::http::HttpBody;

/// An answer in the making.
pub type AnswerFuture = Pin<Box<dyn Future<Output = Response<HttpBody>> + Send>>;

/// Answers the requests of a listener.
///
/// The future is dropped where the caller leaves before the answer's head.
pub trait HttpHandler: Send + Sync {
    /// Answers a request.
    fn handle(&self, request: Request<Incoming>) -> AnswerFuture;
}
