//! Interfaces to the HTTP headers of callers and of backend servers.

use std::time::Duration;

use bytes::Bytes;
use chicory_ranges::ServerIncarnation;
use hyper::Response;
use hyper::http::{HeaderMap, request, response};

use crate::{Refusal, RequestMetadata, ServerNotices};

/// Reads and writes what callers use besides plain HTTP.
pub trait CallerInterface: Send + Sync {
    /// Reads what a caller states about its request.
    fn read(&self, head: &request::Parts) -> RequestMetadata;

    /// Builds the answer to a request that is refused.
    fn refuse(&self, metadata: &RequestMetadata, refusal: &Refusal) -> Response<Bytes>;
}

/// Meaning of a backend server's answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnswerClass {
    /// The answer to the request.
    Answer,
    /// The answer to the request, which reports a failure of the server.
    Failure,
    /// The server is overloaded and has not run the request.
    Shed,
    /// The server does not own the key and has not run the request.
    WrongServer,
    /// Another server now has the address; it has not run the request.
    OtherServer,
    /// The answer belongs to another request, or lacks what every answer of a server has.
    Foreign,
}

impl AnswerClass {
    /// Whether the server states that it has not run the request, which may be sent again then.
    #[must_use]
    pub fn is_refusal(self) -> bool {
        matches!(self, Self::Shed | Self::WrongServer | Self::OtherServer)
    }
}

/// Reads and writes what backend servers use besides plain HTTP.
pub trait ServerInterface: Send + Sync {
    /// Adds the headers that a backend server needs to a request.
    fn prepare(
        &self,
        headers: &mut HeaderMap,
        metadata: &RequestMetadata,
        target: &ServerIncarnation,
        time_left: Duration,
    );

    /// Adds the headers of a probe: a request that every server refuses at once and does not run.
    fn prepare_probe(&self, headers: &mut HeaderMap);

    /// Classifies an answer.
    fn classify(
        &self,
        metadata: &RequestMetadata,
        target: &ServerIncarnation,
        head: &response::Parts,
    ) -> AnswerClass;

    /// Returns what the server states about itself in an answer; `None` if the answer is from another
    /// server.
    fn notices(&self, target: &ServerIncarnation, head: &response::Parts) -> Option<ServerNotices>;

    /// Returns the time for which the server keeps the connection of this answer open while it is
    /// idle, if the answer states one.
    fn keep_alive(&self, head: &response::Parts) -> Option<Duration>;
}
