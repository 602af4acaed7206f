//! The interfaces to callers and to backend servers.

use std::time::Duration;

use bytes::Bytes;
use chicory_ranges::ServerIncarnation;
use hyper::Response;
use hyper::http::{HeaderMap, request, response};

use crate::{Refusal, RequestMetadata};

/// What callers speak besides plain HTTP.
pub trait CallerInterface: Send + Sync {
    /// Reads what a caller says about its request.
    fn read(&self, head: &request::Parts) -> RequestMetadata;

    /// An answer of the entry VM's own.
    fn refuse(&self, metadata: &RequestMetadata, refusal: &Refusal) -> Response<Bytes>;
}

/// What an answer of a backend server means.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnswerClass {
    /// It is the answer to the request.
    Answer,
    /// It is the answer, and tells of a failure of the server.
    Failure,
    /// The server is full and has not run the request.
    Shed,
    /// The server does not own the key; it has not run the request.
    WrongServer,
    /// Another server has the address; it has not run the request.
    OtherServer,
    /// It belongs to another request, or lacks what every answer of a server has.
    Foreign,
}

/// What backend servers speak besides plain HTTP.
pub trait ServerInterface: Send + Sync {
    /// Adds to a request what a backend server is to know.
    fn prepare(
        &self,
        headers: &mut HeaderMap,
        metadata: &RequestMetadata,
        target: &ServerIncarnation,
        time_left: Duration,
    );

    /// Tells what an answer means.
    fn classify(
        &self,
        metadata: &RequestMetadata,
        target: &ServerIncarnation,
        head: &response::Parts,
    ) -> AnswerClass;

    /// How long the server keeps the connection of this answer open while it is idle.
    fn keep_alive(&self, head: &response::Parts) -> Option<Duration>;
}
