//! Answers to requests.

use std::time::Duration;

use chicory_dispatch::{Outcome, Refusal, RefusalReason, RelayLoad};
use chicory_net::http::HttpBody;
use chicory_ownership::StoredAnswer;
use hyper::StatusCode;
use hyper::header::HeaderMap;

/// The refusal of a request that comes in after the process has finished its work.
pub(crate) const REFUSED_STOPPING: Refusal = Refusal {
    outcome: Outcome::NotRun,
    reason: RefusalReason::Stopping,
    retry_after: Some(Duration::ZERO),
};

/// What a request is answered.
#[derive(Debug)]
pub(crate) enum Answer {
    /// A refusal of this process.
    Refused(Refusal),
    /// The stored answer of an order that ran before.
    Stored(StoredAnswer),
    /// The answer of a backend server or of another process.
    Forwarded(Box<ForwardedAnswer>),
}

/// The answer of a backend server or of another process, passed on as it comes in.
#[derive(Debug)]
pub(crate) struct ForwardedAnswer {
    pub(crate) status: StatusCode,
    pub(crate) headers: HeaderMap,
    pub(crate) body: HttpBody,
    pub(crate) outcome: Outcome,
    /// Reason of a refusal by another process, empty otherwise.
    pub(crate) reason: String,
    pub(crate) retry_after: Option<Duration>,
    pub(crate) load: RelayLoad,
}
