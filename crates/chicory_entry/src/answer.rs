//! Answers to requests.

use std::time::Duration;

use chicory_dispatch::{Outcome, Refusal, RefusalReason, RelayLoad};
use chicory_net::http::HttpBody;
use chicory_ownership::StoredAnswer;
use hyper::StatusCode;
use hyper::header::HeaderMap;

/// The refusal of a request that is received after the core loop has ended.
pub(crate) const REFUSED_STOPPING: Refusal = Refusal {
    outcome: Outcome::NotRun,
    reason: RefusalReason::Stopping,
    retry_after: Some(Duration::ZERO),
};

/// The answer to a request.
#[derive(Debug)]
pub(crate) enum Answer {
    /// A refusal by this process.
    Refused(Refusal),
    /// The stored answer of an order that ran before.
    Stored(StoredAnswer),
    /// The answer of a backend server or of another process.
    Forwarded(Box<ForwardedAnswer>),
}

/// The answer of a backend server or of another process, which is forwarded while it is received.
#[derive(Debug)]
pub(crate) struct ForwardedAnswer {
    pub(crate) status: StatusCode,
    pub(crate) headers: HeaderMap,
    pub(crate) body: HttpBody,
    pub(crate) outcome: Outcome,
    /// Reason of a refusal by another process; empty otherwise.
    pub(crate) reason: String,
    pub(crate) retry_after: Option<Duration>,
    pub(crate) load: RelayLoad,
}
