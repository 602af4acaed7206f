//! Interfaces of an entry process that gets no requests of callers.

use std::time::Duration;

use bytes::Bytes;
use chicory_gateway::{
    AnswerClass, CallerInterface, Refusal, RequestMetadata, ServerInterface, ServerNotices,
};
use chicory_ranges::ServerIncarnation;
use hyper::http::{HeaderMap, request, response};
use hyper::{Response, StatusCode};

pub struct NoCallers;

impl CallerInterface for NoCallers {
    fn read(&self, _head: &request::Parts) -> RequestMetadata {
        RequestMetadata::default()
    }

    fn refuse(&self, _metadata: &RequestMetadata, _refusal: &Refusal) -> Response<Bytes> {
        Response::default()
    }
}

/// Marks requests that it prepares, which only the entry VM of the caller may do. An answer that names
/// another request is foreign, and 503 means that the server is overloaded.
pub struct PreparingInterface;

impl ServerInterface for PreparingInterface {
    fn prepare(
        &self,
        headers: &mut HeaderMap,
        _: &RequestMetadata,
        _: &ServerIncarnation,
        _: Duration,
    ) {
        headers.insert("prepared", 1.into());
    }

    fn prepare_probe(&self, _: &mut HeaderMap) {}

    fn classify(
        &self,
        metadata: &RequestMetadata,
        _: &ServerIncarnation,
        head: &response::Parts,
    ) -> AnswerClass {
        let named = head.headers.get("request-id");
        let named = named.and_then(|id| id.to_str().ok());
        if named.is_some() && named != metadata.attempt_id.as_deref() {
            return AnswerClass::Foreign;
        }
        if head.status == StatusCode::SERVICE_UNAVAILABLE {
            return AnswerClass::Shed;
        }
        AnswerClass::Answer
    }

    fn notices(&self, _: &ServerIncarnation, _: &response::Parts) -> Option<ServerNotices> {
        None
    }

    fn keep_alive(&self, _head: &response::Parts) -> Option<Duration> {
        None
    }
}
